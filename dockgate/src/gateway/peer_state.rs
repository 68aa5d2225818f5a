//! Tells other boxes what this one knows, and asks those that know more.
//!
//! A box that the store turns away, or that has just begun while the store is out, learns routes
//! and endpoints from a box that reaches it. Versions and revisions never go back.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use crate::clock::now_ms;
use crate::door::RpcDoor;
use crate::error::DaemonError;
use dockgate_proto::{StateAnswer, StateRequest, methods};
use http::{Extensions, HeaderMap};
use jsonrpsee::RpcModule;
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::rpc_params;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::ws_client::WsClientBuilder;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// How often this box looks whether another one knows more. The watch of the store usually tells
/// sooner; this bounds how long a watch whose answer was lost matters.
const LOOK: Duration = Duration::from_millis(350);
/// The same for a box that has no configuration yet: it serves nobody until it has.
const FIRST_LOOK: Duration = Duration::from_millis(40);
/// How long another box must be ahead until it is asked: the own watch is usually on its way.
const PATIENCE_LOOKS: u32 = 2;
/// How long asking may take.
const TIMEOUT: Duration = Duration::from_millis(800);

/// Makes the door at which other boxes ask. Whoever reaches it may ask: the platform keeps others
/// away from the boxes' own ports.
///
/// # Errors
///
/// Returns an error where the method cannot be registered.
pub(super) fn state_door(
    state: Arc<GatewayState>,
) -> Result<RpcDoor<impl Fn(&HeaderMap) -> Result<Extensions, &'static str>>, DaemonError> {
    let mut module = RpcModule::new(state);
    module.register_method(methods::STATE, |params, state, _| {
        let request: StateRequest = params.one()?;
        Ok::<_, ErrorObjectOwned>(answer(state, request))
    })?;
    Ok(RpcDoor {
        name: "state",
        methods: module.into(),
        guard: |_: &HeaderMap| Ok(Extensions::new()),
    })
}

fn answer(state: &GatewayState, request: StateRequest) -> StateAnswer {
    let table = state.table();
    let config = table.config();
    state.with(|beliefs| {
        let endpoints = &beliefs.endpoints;
        let newer = endpoints.revision() > request.endpoint_revision;
        StateAnswer {
            config: (config.version > request.config_version).then(|| config.clone()),
            endpoints: newer.then(|| endpoints.tell(now_ms())),
            endpoint_revision: endpoints.revision(),
        }
    })
}

/// Asks a box that knows more, until the process ends.
pub(super) async fn ask_better_informed(state: Arc<GatewayState>) {
    let mut looks = 0;
    loop {
        let look = match state.table().config().version {
            0 => FIRST_LOOK,
            _ => LOOK,
        };
        tokio::time::sleep(look).await;
        let better = state.with(|beliefs| beliefs.fleet.better_informed(now_ms()));
        let Some(peer) = better else {
            looks = 0;
            continue;
        };
        looks += 1;
        // A box that knows nothing yet, or does not follow the store, has no watch to wait for.
        let waits = state.table().config().version > 0 && state.follows_store();
        if waits && looks < PATIENCE_LOOKS {
            continue;
        }
        ask_noted(&state, peer).await;
    }
}

/// Asks, and notes how long that took and what became of it.
async fn ask_noted(state: &GatewayState, peer: SocketAddr) {
    const WHAT: &str = "all";
    let began_ms = now_ms();
    let asked = ask(state, peer).await;
    let took_ms = now_ms() - began_ms;
    GATEWAY_METRICS.note_question(WHAT, asked.is_ok(), Duration::from_millis(took_ms));
    if let Err(error) = asked {
        log_gateway(&GatewayEvent::StateUnanswered {
            peer: &peer.to_string(),
            what: WHAT,
            took_ms,
            problem: error.to_string(),
        });
    }
}

async fn ask(state: &GatewayState, peer: SocketAddr) -> Result<(), ClientError> {
    let request = StateRequest {
        config_version: state.table().config().version,
        endpoint_revision: state.with(|beliefs| beliefs.endpoints.revision()),
    };
    let client = WsClientBuilder::new()
        .request_timeout(TIMEOUT)
        .connection_timeout(TIMEOUT)
        .build(format!("ws://{peer}"))
        .await?;
    let answer: StateAnswer = client.request(methods::STATE, rpc_params![request]).await?;
    let source = peer.to_string();
    if let Some(config) = answer.config {
        state.offer_routes(config, &source);
    }
    if let Some(known) = answer.endpoints {
        state.learn_endpoints(known, answer.endpoint_revision, &source);
    }
    Ok(())
}
