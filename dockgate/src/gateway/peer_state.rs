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
use super::quarantine_door;
use crate::clock::{now_ms, wakings};
use crate::error::DaemonError;
use crate::rpc_listener::RpcListener;
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
const LOOK: Duration = Duration::from_millis(150);
/// The same for a box that has no configuration yet: it serves nobody until it has.
const FIRST_LOOK: Duration = Duration::from_millis(40);
/// How long others must be ahead until a box that follows the store asks, in milliseconds: its own watch
/// is usually on its way, and pauses for 300 ms between changes.
const WATCH_PATIENCE_MS: u64 = 700;
/// How long a box of another domain must be ahead until it is asked, in milliseconds: a beat and a bit, in
/// which those of the own domain usually know it too, and telling that costs no bytes between domains.
const FAR_PATIENCE_MS: u64 = 350;
/// How long connecting may take.
const CONNECT: Duration = Duration::from_millis(800);
/// How long an answer may take at first; twice as long after each one that did not come in time, since how
/// large the news is, and how busy the other box, is not known before.
const ANSWER: Duration = Duration::from_millis(800);
/// How long an answer may take at most: a bound, beyond which the other box is taken for gone.
const LONGEST_ANSWER: Duration = Duration::from_millis(3_200);

/// Makes the door at which other boxes ask. Whoever reaches it may ask: the platform keeps others
/// away from the boxes' own ports.
///
/// # Errors
///
/// Returns an error where the method cannot be registered.
pub(super) fn state_door(
    state: Arc<GatewayState>,
) -> Result<RpcListener<impl Fn(&HeaderMap) -> Result<Extensions, &'static str>>, DaemonError> {
    let mut module = RpcModule::new(state);
    module.register_method(methods::STATE, |params, state, _| {
        let request: StateRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(answer(state, request))
    })?;
    quarantine_door::register(&mut module)?;
    Ok(RpcListener {
        name: "state",
        methods: module.into(),
        guard: |_: &HeaderMap| Ok(Extensions::new()),
    })
}

fn answer(state: &GatewayState, request: StateRequest) -> StateAnswer<Box<RawValue>> {
    let newer = state.table().config().version > request.config_version;
    let config = newer.then(|| state.encoded_config()).flatten();
    state.with(|beliefs| {
        let endpoints = &beliefs.endpoints;
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
    silent: Option<SocketAddr>,
    /// How many answers in a row did not come.
    missed: u32,
}

impl QueryBackoff {
    /// Returns which box to ask now, if any.
    fn due(
        &mut self,
        better: Option<StateSource>,
        has_watch: bool,
        now_ms: u64,
    ) -> Option<StateSource> {
        let Some(better) = better else {
            self.behind_since_ms = None;
            return None;
        };
        let behind_ms = now_ms - *self.behind_since_ms.get_or_insert(now_ms);
        let patience_ms = match (has_watch, better.is_same_domain) {
            (true, _) => WATCH_PATIENCE_MS,
            (false, false) => FAR_PATIENCE_MS,
            (false, true) => 0,
        };
        (behind_ms >= patience_ms).then_some(better)
    }

    /// Returns how long an answer may take.
    fn limit(&self) -> Duration {
        (ANSWER * (1 << self.missed.min(8))).min(LONGEST_ANSWER)
    }

    fn note(&mut self, peer: SocketAddr, answered: bool) {
        match answered {
            true => *self = Self::default(),
            false => {
                self.silent = Some(peer);
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
        let look = if version == 0 { FIRST_LOOK } else { LOOK };
        tokio::time::sleep(look).await;
        let now = now_ms();
        let better =
            state.with(|beliefs| beliefs.fleet.find_state_source(what, backoff.silent, now));
        // A box that knows nothing yet has no time to wait for its watch.
        let has_watch = version > 0 && state.hears_store();
        if let Some(better) = backoff.due(better, has_watch, now) {
            let peer = better.state_address;
            let mut wakings = wakings();
            let answered = tokio::select! {
                answered = ask_noted(&state, peer, what, backoff.limit()) => answered,
                // Whoever was asked before the box slept is asked anew.
                _ = wakings.changed() => continue,
            };
            backoff.note(peer, answered);
        }
    }
}

/// Asks, and notes how long that took and what became of it; returns whether it was answered.
async fn ask_noted(
    state: &GatewayState,
    peer: SocketAddr,
    what: StateKind,
    limit: Duration,
) -> bool {
    let began_ms = now_ms();
    let asked = ask(state, peer, what, limit).await;
    let took_ms = now_ms() - began_ms;
    let took = Duration::from_millis(took_ms);
    GATEWAY_METRICS.note_question(what.name(), asked.is_ok(), took);
    if let Err(error) = &asked {
        log_gateway(&GatewayEvent::StateUnanswered {
            peer: &peer.to_string(),
            what: what.name(),
            took_ms,
            problem: error.to_string(),
        });
    }
    asked.is_ok()
}

async fn ask(
    state: &GatewayState,
    peer: SocketAddr,
    what: StateKind,
    limit: Duration,
) -> Result<(), ClientError> {
    let client = WsClientBuilder::new()
        .request_timeout(limit)
        .connection_timeout(CONNECT)
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
                .for_each(|config| state.offer_routes(config, &source));
        }
        StateKind::Endpoints => {
            let known = state.with(|beliefs| beliefs.endpoints.revision());
            let answer = request_state(&client, StateRequest::endpoints(known)).await?;
            let agrees = answer
                .endpoints
                .is_none_or(|news| state.learn_endpoints(news, &source));
            if !agrees {
                // Something was missed on the way here: all endpoints set it right.
                let answer =
                    request_state(&client, StateRequest::endpoints(StoreRevision::NONE)).await?;
                answer
                    .endpoints
                    .map(|news| state.learn_endpoints(news, &source));
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
