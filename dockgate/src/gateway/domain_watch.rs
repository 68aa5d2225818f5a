//! Watches whether the other failure domains can be reached.
//!
//! A domain whose boxes have all fallen silent, or that is believed to be cut off, is tried by opening
//! connections to its endpoints, so that no request has to find out. Connections that rest there are
//! closed when it is cut off: what is sent on them would wait until the system gives them up.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use super::sockets::connect;
use crate::clock::now_ms;
use dockgate_core::gateway::{DomainReachability, EndpointId};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often domains are looked at.
const WATCH: Duration = Duration::from_millis(150);
/// How long a connection may take to open: a hundred times the way between two domains.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a domain that answered is left alone although its boxes are silent, in milliseconds.
const ANSWERED_MS: u64 = 600;

/// An endpoint that is tried.
#[derive(Debug, Clone, Copy)]
struct DomainProbe {
    endpoint: EndpointId,
    address: SocketAddr,
}

/// What this box remembers of the domains that it watches.
#[derive(Debug, Default)]
struct DomainWatch {
    /// Since when domains have been cut off.
    cut_since: BTreeMap<String, u64>,
    /// When domains answered a probe last.
    answered: BTreeMap<String, u64>,
}

/// Watches the failure domains until the process ends.
pub(super) async fn watch_domains(state: Arc<GatewayState>) {
    let mut watch = DomainWatch::default();
    loop {
        tokio::time::sleep(WATCH).await;
        for domain in watch.suspects(&state) {
            watch.probe(&state, domain).await;
        }
        watch.note_changes(&state);
    }
}

impl DomainWatch {
    /// Lists the domains that may be cut off.
    fn suspects(&self, state: &GatewayState) -> Vec<String> {
        let now = now_ms();
        let answered = |domain: &String| {
            let at = self.answered.get(domain);
            at.is_some_and(|at| at + ANSWERED_MS > now)
        };
        state.with(|view| {
            let silent = view.fleet.silent_domains(now);
            let mut suspects: Vec<String> = silent.into_iter().collect();
            suspects.retain(|domain| !answered(domain));
            let cut = view.endpoints.reach().unreachable();
            suspects.extend(cut.map(str::to_owned));
            suspects.sort();
            suspects.dedup();
            suspects
        })
    }

    /// Opens connections to some endpoints of a domain, and notes whether any answers.
    async fn probe(&mut self, state: &GatewayState, domain: String) {
        let probes = probes(state, &domain);
        let tried = probes.iter().map(|probe| async {
            match connect(probe.address, PROBE_TIMEOUT).await {
                Ok(_) => true,
                Err(error) => error.kind() == ErrorKind::ConnectionRefused,
            }
        });
        let answers = futures::future::join_all(tried).await;
        state.with(|view| {
            for (probe, answered) in probes.iter().zip(&answers) {
                view.endpoints.note_reach(probe.endpoint, *answered);
            }
        });
        if answers.contains(&true) {
            self.answered.insert(domain, now_ms());
        }
    }

    /// Logs what has changed, and closes what rests in domains that are cut off now.
    fn note_changes(&mut self, state: &GatewayState) {
        let now = now_ms();
        let cut: Vec<String> = state.with(|view| {
            let cut = view.endpoints.reach().unreachable();
            cut.map(str::to_owned).collect()
        });
        self.cut_since.retain(|domain, since| {
            let still = cut.contains(domain);
            if !still {
                let for_ms = now - *since;
                log_gateway(&GatewayEvent::DomainBack { domain, for_ms });
            }
            still
        });
        for domain in cut {
            if self.cut_since.contains_key(&domain) {
                continue;
            }
            log_gateway(&GatewayEvent::DomainCut { domain: &domain });
            state.pools.drop_resting(&endpoints_of(state, &domain));
            self.cut_since.insert(domain, now);
        }
    }
}

fn endpoints_of(state: &GatewayState, domain: &str) -> Vec<EndpointId> {
    state.with(|view| {
        let endpoints = view.endpoints.iter();
        let endpoints = endpoints.filter(|(_, entry)| entry.record.domain == domain);
        endpoints.map(|(id, _)| id).collect()
    })
}

/// Picks the endpoints of a domain that are tried next: any of them, so that those which are down do
/// not stand for the others.
fn probes(state: &GatewayState, domain: &str) -> Vec<DomainProbe> {
    let endpoints = endpoints_of(state, domain);
    let start = rand::random_range(0..endpoints.len().max(1));
    let chosen = endpoints.iter().cycle().skip(start);
    // As many as must be silent for a cut.
    let chosen = chosen.take(DomainReachability::MIN_SILENT_ENDPOINTS.min(endpoints.len()));
    state.with(|view| {
        let probes = chosen.filter_map(|endpoint| {
            let entry = view.endpoints.get(*endpoint)?;
            Some(DomainProbe {
                endpoint: *endpoint,
                address: entry.record.address,
            })
        });
        probes.collect()
    })
}
