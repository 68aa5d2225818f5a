//! Serves this box's configuration and endpoints to other boxes, and queries boxes with newer ones.
//!
//! A box that does not reach the store gets routes and endpoints from a box that does. Versions and
//! revisions never decrease. Configuration and endpoints are queried separately, so that a large
//! configuration does not delay changes of endpoints: in one answer with a configuration of 1.2 MB,
//! the notice that endpoints leave came over 3 s late.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::quarantine_rpc;
use crate::clock::{now_ms, subscribe_resumes};
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
use serde_json::value::{RawValue, to_raw_value};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often this box checks whether another one has newer state. The watch of the store is usually
/// faster; the check limits the delay if the watch's answer is lost.
const POLL_INTERVAL: Duration = Duration::from_millis(150);
/// The same for a box without a configuration, which cannot serve requests yet.
const INITIAL_POLL_INTERVAL: Duration = Duration::from_millis(40);
/// How long a box that follows the store waits for its own watch before it queries another box of its
/// domain, in milliseconds; longer than the pause between two watches.
const WATCH_QUERY_DELAY_MS: u64 = 400;
/// The same before it queries one of another domain.
const REMOTE_WATCH_QUERY_DELAY_MS: u64 = 700;
/// How long a box waits before it queries one of another domain, in milliseconds: over one
/// heartbeat, within which a box of the own domain usually has the state too, without traffic
/// between domains.
const REMOTE_QUERY_DELAY_MS: u64 = 350;
/// How long connecting may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(800);
/// How long an answer may take at first; doubles after each timeout, since the size of the answer
/// and the load of the other box are unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// The longest time that an answer may take; beyond it the other box counts as gone.
const MAX_ANSWER_TIMEOUT: Duration = Duration::from_millis(3_200);

/// Creates the listener for queries of other boxes. It needs no authentication, since the platform
/// restricts access to the ports between boxes.
///
/// # Errors
///
/// Returns an error if a method cannot be registered.
pub(super) fn state_rpc(
    state: Arc<GatewayState>,
) -> Result<RpcListener<impl Fn(&HeaderMap) -> Result<Extensions, &'static str>>, DaemonError> {
    let mut module = RpcModule::new(state);
    module.register_method(methods::STATE, |params, state, _| {
        let request: StateRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(answer_query(state, request))
    })?;
    quarantine_rpc::register(&mut module)?;
    Ok(RpcListener {
        name: "state",
        methods: module.into(),
        guard: |_: &HeaderMap| Ok(Extensions::new()),
    })
}

/// An answer whose parts are encoded already.
type EncodedAnswer = StateAnswer<Box<RawValue>, Box<RawValue>>;

fn answer_query(state: &GatewayState, request: StateRequest) -> EncodedAnswer {
    let is_newer = state.table().config().version > request.config_version;
    StateAnswer {
        config: is_newer.then(|| state.encoded_config()).flatten(),
        endpoints: encoded_update(state, request.endpoint_revision),
    }
}

/// Returns the update of endpoints since a revision in encoded form; `None` if nothing is newer or
/// encoding failed.
fn encoded_update(state: &GatewayState, since: StoreRevision) -> Option<Box<RawValue>> {
    let now = now_ms();
    state.with(|view| {
        let revision = view.endpoints.revision();
        if revision <= since {
            return None;
        }
        let kept = view.encoded_updates.find(since, revision, now);
        kept.or_else(|| {
            let update = view.endpoints.update_since(since, now);
            let json = to_raw_value(&update)
                .inspect_err(|error| log::error!("encode an update of endpoints: {error}"));
            let json = json.ok()?;
            view.encoded_updates.keep(since, &update, &json, now);
            Some(json)
        })
    })
}

/// Delays queries, and extends their timeout after failures.
#[derive(Debug, Default)]
struct QueryBackoff {
    behind_since_ms: Option<u64>,
    /// The last box that did not answer.
    failed: Option<SocketAddr>,
    /// The number of consecutive queries without an answer.
    missed: u32,
}

impl QueryBackoff {
    /// Returns `source` if it is to be queried now.
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
            (true, true) => WATCH_QUERY_DELAY_MS,
            (true, false) => REMOTE_WATCH_QUERY_DELAY_MS,
            (false, false) => REMOTE_QUERY_DELAY_MS,
            (false, true) => 0,
        };
        (behind_ms >= delay_ms).then_some(source)
    }

    /// Returns the timeout for the next answer.
    fn timeout(&self) -> Duration {
        (ANSWER_TIMEOUT * (1 << self.missed.min(8))).min(MAX_ANSWER_TIMEOUT)
    }

    fn record(&mut self, peer: SocketAddr, answered: bool) {
        match answered {
            true => *self = Self::default(),
            false => {
                self.failed = Some(peer);
                self.missed += 1;
            }
        }
    }
}

/// Queries boxes with newer state of this kind, until the process ends.
pub(super) async fn query_peers(state: Arc<GatewayState>, kind: StateKind) {
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
        let source = state.with(|view| view.fleet.find_state_source(kind, backoff.failed, now));
        // A box without a configuration does not wait for its watch.
        let has_watch = version > 0 && state.reaches_store();
        if let Some(source) = backoff.due(source, has_watch, now) {
            let peer = source.state_address;
            let mut resumes = subscribe_resumes();
            let answered = tokio::select! {
                answered = query_and_record(&state, peer, kind, backoff.timeout()) => answered,
                // A query from before a suspension is abandoned.
                _ = resumes.changed() => continue,
            };
            backoff.record(peer, answered);
        }
    }
}

/// Queries a box, and records the outcome and the duration; returns whether it answered.
async fn query_and_record(
    state: &GatewayState,
    peer: SocketAddr,
    kind: StateKind,
    timeout: Duration,
) -> bool {
    let started_ms = now_ms();
    let result = query(state, peer, kind, timeout).await;
    let took_ms = now_ms() - started_ms;
    let took = Duration::from_millis(took_ms);
    GATEWAY_METRICS.record_state_request(kind.name(), result.is_ok(), took);
    if let Err(error) = &result {
        log_gateway(&GatewayEvent::StateUnanswered {
            peer: &peer.to_string(),
            what: kind.name(),
            took_ms,
            problem: error.to_string(),
        });
    }
    result.is_ok()
}

async fn query(
    state: &GatewayState,
    peer: SocketAddr,
    kind: StateKind,
    timeout: Duration,
) -> Result<(), ClientError> {
    let client = connect(peer, timeout).await?;
    let source = peer.to_string();
    match kind {
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
                // An earlier update was missed, so the complete list is requested.
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

async fn connect(peer: SocketAddr, timeout: Duration) -> Result<WsClient, ClientError> {
    WsClientBuilder::new()
        .request_timeout(timeout)
        .connection_timeout(CONNECT_TIMEOUT)
        .build(format!("ws://{peer}"))
        .await
}

/// Sends one request to another box, which has `timeout` to answer.
///
/// # Errors
///
/// Returns an error if the box cannot be reached or does not answer in time.
pub(super) async fn fetch_state(
    peer: SocketAddr,
    request: StateRequest,
    timeout: Duration,
) -> Result<StateAnswer, ClientError> {
    let client = connect(peer, timeout).await?;
    request_state(&client, request).await
}

async fn request_state(
    client: &WsClient,
    request: StateRequest,
) -> Result<StateAnswer, ClientError> {
    client.request(methods::STATE, rpc_params![request]).await
}

#[cfg(test)]
mod tests;
