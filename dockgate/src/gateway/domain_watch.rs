//! Watches whether the other failure domains can be reached.
//!
//! A domain whose boxes are all silent, or that counts as unreachable, is probed by opening
//! connections to its endpoints, so that no request has to wait for a timeout. When a domain
//! becomes unreachable, idle connections to its endpoints are closed, since a request sent on one
//! would hang.

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

/// How often the domains are checked.
const WATCH_INTERVAL: Duration = Duration::from_millis(150);
/// How long a connection may take to open; far longer than a round trip between domains.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a silent domain that answered a probe is not probed again, in milliseconds.
const ANSWER_VALID_MS: u64 = 600;

/// An endpoint to probe.
#[derive(Debug, Clone, Copy)]
struct DomainProbe {
    endpoint: EndpointId,
    address: SocketAddr,
}

/// The state of the watched domains.
#[derive(Debug, Default)]
struct DomainWatch {
    /// When domains became unreachable, in milliseconds of the daemon's clock.
    unreachable_since: BTreeMap<String, u64>,
    /// When domains last answered a probe, in milliseconds of the daemon's clock.
    answered: BTreeMap<String, u64>,
}

/// Watches the failure domains until the process ends.
pub(super) async fn watch_domains(state: Arc<GatewayState>) {
    let mut watch = DomainWatch::default();
    loop {
        tokio::time::sleep(WATCH_INTERVAL).await;
        for domain in watch.suspected_domains(&state) {
            watch.probe(&state, domain).await;
        }
        watch.apply_changes(&state);
    }
}

impl DomainWatch {
    /// Lists the domains that are or may be unreachable.
    fn suspected_domains(&self, state: &GatewayState) -> Vec<String> {
        let now = now_ms();
        let answered = |domain: &String| {
            let answered_ms = self.answered.get(domain);
            answered_ms.is_some_and(|answered_ms| answered_ms + ANSWER_VALID_MS > now)
        };
        state.with(|view| {
            let silent = view.fleet.silent_domains(now);
            let mut domains: Vec<String> = silent.into_iter().collect();
            domains.retain(|domain| !answered(domain));
            let unreachable = view.endpoints.reachability().unreachable();
            domains.extend(unreachable.map(str::to_owned));
            domains.sort();
            domains.dedup();
            domains
        })
    }

    /// Opens connections to some endpoints of a domain, and records which of them answer.
    async fn probe(&mut self, state: &GatewayState, domain: String) {
        let probes = pick_probes(state, &domain);
        let attempts = probes.iter().map(|probe| async {
            match connect(probe.address, PROBE_TIMEOUT).await {
                Ok(_) => true,
                Err(error) => error.kind() == ErrorKind::ConnectionRefused,
            }
        });
        let answers = futures::future::join_all(attempts).await;
        state.with(|view| {
            for (probe, answered) in probes.iter().zip(&answers) {
                view.endpoints.note_reachability(probe.endpoint, *answered);
            }
        });
        if answers.contains(&true) {
            self.answered.insert(domain, now_ms());
        }
    }

    /// Logs changes, and closes idle connections to domains that became unreachable.
    fn apply_changes(&mut self, state: &GatewayState) {
        let now = now_ms();
        let unreachable: Vec<String> = state.with(|view| {
            let unreachable = view.endpoints.reachability().unreachable();
            unreachable.map(str::to_owned).collect()
        });
        self.unreachable_since.retain(|domain, since| {
            let is_unreachable = unreachable.contains(domain);
            if !is_unreachable {
                let for_ms = now - *since;
                log_gateway(&GatewayEvent::DomainBack { domain, for_ms });
            }
            is_unreachable
        });
        for domain in unreachable {
            if self.unreachable_since.contains_key(&domain) {
                continue;
            }
            log_gateway(&GatewayEvent::DomainCut { domain: &domain });
            state.pools.close_idle_to(&endpoints_of(state, &domain));
            self.unreachable_since.insert(domain, now);
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

/// Picks the endpoints of a domain to probe next, at random, so that the same endpoints that are
/// down do not decide every time.
fn pick_probes(state: &GatewayState, domain: &str) -> Vec<DomainProbe> {
    let endpoints = endpoints_of(state, domain);
    let start = rand::random_range(0..endpoints.len().max(1));
    let chosen = endpoints.iter().cycle().skip(start);
    // The number of silent endpoints that makes a domain unreachable.
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
