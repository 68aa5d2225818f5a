//! Tells other boxes what this one knows, and asks those that know more.
//!
//! A box that the store turns away, or that has just begun while the store is out, learns routes
//! and endpoints from a box that reaches it. Versions and revisions never go back.
//!
//! The two are asked for apart. They came in one answer with one limit once: while a configuration of
//! 1.2 MB went to 85 boxes, 832 answers took longer than that, and 186 prompts reached engines more than
//! 3 s after these had said that they leave, since the notice was in the same answers (one run).

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::quarantine_rpc;
use crate::clock::{now_ms, wakings};
use crate::door::RpcDoor;
use crate::error::DaemonError;
use dockgate_core::gateway::{StateKind, StateSource, StoreRevision};
use dockgate_proto::{StateAnswer, StateRequest, methods};
use http::{Extensions, HeaderMap};
use jsonrpsee::RpcModule;
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often this box looks whether another one knows more. The watch of the store usually tells
/// sooner; this bounds how long a watch whose answer was lost matters.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// The same for a box that has no configuration yet: it serves nobody until it has.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// How long others must be ahead until a box that follows the store asks, in milliseconds: its own watch
/// is usually on its way, and pauses for 300 ms between changes.
const WATCH_QUERY_DELAY_MS: u64 = 700;
/// How long a box of another domain must be ahead until it is asked, in milliseconds: a beat and a bit, in
/// which those of the own domain usually know it too, and telling that costs no bytes between domains.
const REMOTE_QUERY_DELAY_MS: u64 = 350;
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long an answer may take at first; twice as long after each one that did not come in time, since how
/// large the news is, and how busy the other box, is not known before.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// How long an answer may take at most: a bound, beyond which the other box is taken for gone.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(3_200);

/// Makes the door at which other boxes ask. Whoever reaches it may ask: the platform keeps others
/// away from the boxes' own ports.
///
/// # Errors
///
/// Returns an error where the method cannot be registered.
pub(super) fn state_rpc(
    state: Arc<GatewayState>,
) -> Result<RpcDoor<impl Fn(&HeaderMap) -> Result<Extensions, &'static str>>, DaemonError> {
    let mut module = RpcModule::new(state);
    module.register_method(methods::STATE, |params, state, _| {
        let request: StateRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(answer_query(state, request))
    })?;
    quarantine_rpc::register(&mut module)?;
    Ok(RpcDoor {
        name: "state",
        methods: module.into(),
        guard: |_: &HeaderMap| Ok(Extensions::new()),
    })
}

fn answer_query(state: &GatewayState, request: StateRequest) -> StateAnswer<Box<RawValue>> {
    let newer = state.table().config().version > request.config_version;
    let config = newer.then(|| state.encoded_config()).flatten();
    state.with(|view| {
        let endpoints = &view.endpoints;
        let newer = endpoints.revision() > request.endpoint_revision;
        StateAnswer {
            config,
            endpoints: newer.then(|| endpoints.update_since(request.endpoint_revision, now_ms())),
        }
    })
}

/// Since when this box has known that others know more, and how it went to ask them.
#[derive(Debug, Default)]
struct QueryBackoff {
    behind_since_ms: Option<u64>,
    /// The last box that gave no answer.
    unresponsive: Option<SocketAddr>,
    /// How many answers in a row did not come.
    missed: u32,
}

impl QueryBackoff {
    /// Returns which box to ask now, if any.
    fn due(
        &mut self,
        source: Option<StateSource>,
        has_watch: bool,
        now_ms: u64,
    ) -> Option<StateSource> {
        let Some(source) = source else {
            self.behind_since_ms = None;
            return None;
        };
        let behind_ms = now_ms - *self.behind_since_ms.get_or_insert(now_ms);
        let delay_ms = match (has_watch, source.is_same_domain) {
            (true, _) => WATCH_QUERY_DELAY_MS,
            (false, false) => REMOTE_QUERY_DELAY_MS,
            (false, true) => 0,
        };
        (behind_ms >= delay_ms).then_some(source)
    }

    /// Returns how long an answer may take.
    fn timeout(&self) -> Duration {
        (ANSWER_TIMEOUT * (1 << self.missed.min(8))).min(MAX_ANSWER_TIMEOUT)
    }

    fn record(&mut self, peer: SocketAddr, answered: bool) {
        match answered {
            true => *self = Self::default(),
            false => {
                self.unresponsive = Some(peer);
                self.missed += 1;
            }
        }
    }
}

/// Asks boxes that know more of `what`, until the process ends.
pub(super) async fn query_peers(state: Arc<GatewayState>, what: StateKind) {
    let mut backoff = QueryBackoff::default();
    loop {
        let version = state.table().config().version;
        let interval = if version == 0 {
            INITIAL_POLL_INTERVAL
        } else {
            POLL_INTERVAL
        };
        tokio::time::sleep(interval).await;
        let now = now_ms();
        let source = state.with(|view| {
            view.fleet
                .find_state_source(what, backoff.unresponsive, now)
        });
        // A box that knows nothing yet has no time to wait for its watch.
        let has_watch = version > 0 && state.reaches_store();
        if let Some(source) = backoff.due(source, has_watch, now) {
            let peer = source.state_address;
            let mut wakings = wakings();
            let answered = tokio::select! {
                answered = query_logged(&state, peer, what, backoff.timeout()) => answered,
                // Whoever was asked before the box slept is asked anew.
                _ = wakings.changed() => continue,
            };
            backoff.record(peer, answered);
        }
    }
}

/// Asks, and notes how long that took and what became of it; returns whether it was answered.
async fn query_logged(
    state: &GatewayState,
    peer: SocketAddr,
    what: StateKind,
    timeout: Duration,
) -> bool {
    let started_ms = now_ms();
    let result = query(state, peer, what, timeout).await;
    let took_ms = now_ms() - started_ms;
    let took = Duration::from_millis(took_ms);
    GATEWAY_METRICS.note_question(what.name(), result.is_ok(), took);
    if let Err(error) = &result {
        log_gateway(&GatewayEvent::StateUnanswered {
            peer: &peer.to_string(),
            what: what.name(),
            took_ms,
            problem: error.to_string(),
        });
    }
    result.is_ok()
}

async fn query(
    state: &GatewayState,
    peer: SocketAddr,
    what: StateKind,
    timeout: Duration,
) -> Result<(), ClientError> {
    let client = WsClientBuilder::new()
        .request_timeout(timeout)
        .connection_timeout(CONNECT_TIMEOUT)
        .build(format!("ws://{peer}"))
        .await?;
    let source = peer.to_string();
    match what {
        StateKind::Config => {
            let request = StateRequest::config(state.table().config().version);
            let answer = request_state(&client, request).await?;
            answer
                .config
                .into_iter()
                .for_each(|config| state.apply_routes(config, &source));
        }
        StateKind::Endpoints => {
            let known = state.with(|view| view.endpoints.revision());
            let answer = request_state(&client, StateRequest::endpoints(known)).await?;
            let is_consistent = answer
                .endpoints
                .is_none_or(|update| state.merge_endpoints(update, &source));
            if !is_consistent {
                // Something was missed on the way here: all endpoints set it right.
                let answer =
                    request_state(&client, StateRequest::endpoints(StoreRevision::NONE)).await?;
                answer
                    .endpoints
                    .map(|update| state.merge_endpoints(update, &source));
            }
        }
    }
    Ok(())
}

async fn request_state(
    client: &WsClient,
    request: StateRequest,
) -> Result<StateAnswer, ClientError> {
    client.request(methods::STATE, rpc_params![request]).await
}

#[cfg(test)]
mod tests;
