//! Tells other boxes what this one knows, and asks those that know more.
//!
//! A box that the store turns away, or that has just begun while the store is out, learns routes
//! and endpoints from a box that reaches it. Versions and revisions never go back.

use super::gateway_state::GatewayState;
use crate::clock::now_ms;
use crate::door::RpcDoor;
use crate::error::DaemonError;
use dockgate_core::gateway::EndpointId;
use dockgate_proto::{KnownEndpoint, StateAnswer, StateRequest, methods};
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
        let now = now_ms();
        let records = endpoints.iter().map(|(_, entry)| KnownEndpoint {
            record: entry.record.clone(),
            revision: entry.revision,
            lapses_in_ms: entry.lapses_in_ms(now),
        });
        StateAnswer {
            config: (config.version > request.config_version).then(|| config.clone()),
            endpoints: newer.then(|| records.collect()),
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
        if let Err(error) = ask(&state, peer).await {
            log::warn!("ask {peer} for its state: {error}");
        }
    }
}

/// Takes another box's endpoints in, with what has lapsed there.
fn take_endpoints(state: &GatewayState, known: Vec<KnownEndpoint>, revision: u64, source: &str) {
    let now = now_ms();
    let lapsing = known.iter().filter_map(|endpoint| {
        let until_ms = now + endpoint.lapses_in_ms?;
        Some((endpoint.record.key(), until_ms))
    });
    let lapsing: Vec<(EndpointId, u64)> = lapsing.collect();
    let records = known.into_iter();
    let records = records.map(|endpoint| (endpoint.record, endpoint.revision));
    state.replace_endpoints(records.collect(), revision, None, source);
    state.with(|beliefs| {
        beliefs.endpoints.advance(revision);
        for (id, until_ms) in lapsing {
            beliefs.endpoints.lapse(id, until_ms);
        }
    });
    state.note_known();
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
        take_endpoints(state, known, answer.endpoint_revision, &source);
    }
    Ok(())
}
