//! JSON-RPC listener for peers: hello, batches of messages and the configuration.

use crate::config_cell::ConfigCell;
use crate::dispatch::{DispatchHandle, PeerBatch, PeerHello};
use crate::error::DaemonError;
use crate::rpc_listener::{RpcListener, has_secret};
use dockgate_core::BoxKey;
use dockgate_proto::{ConfigAnswer, HelloRequest, PeerMessage, headers, methods};
use http::{Extensions, HeaderMap};
use jsonrpsee::RpcModule;
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned, Params};

/// The authenticated sender of a request.
#[derive(Debug, Clone, Copy)]
struct PeerIdentity(BoxKey);

struct PeerContext {
    dispatch: DispatchHandle,
    cell: ConfigCell,
}

/// Creates the listener.
///
/// # Errors
///
/// Returns an error if a method cannot be registered.
pub(crate) fn peer_listener(
    dispatch: DispatchHandle,
    cell: ConfigCell,
    secret: String,
) -> Result<RpcListener<impl Fn(&HeaderMap) -> Result<Extensions, &'static str>>, DaemonError> {
    let mut module = RpcModule::new(PeerContext { dispatch, cell });
    module.register_async_method(methods::HELLO, |params, context, extensions| async move {
        let from = identity_of(&extensions)?;
        let request: HelloRequest = params.one()?;
        let hello = PeerHello { from, request };
        let reply = context.dispatch.peer_hello(hello).await;
        reply.ok_or_else(actor_stopped)
    })?;
    module.register_async_method(
        methods::EXCHANGE,
        |params, context, extensions| async move {
            let from = identity_of(&extensions)?;
            let messages = parse_batch(&params)?;
            let batch = PeerBatch { from, messages };
            Ok::<_, ErrorObjectOwned>(context.dispatch.peer_batch(batch).await)
        },
    )?;
    module.register_method(methods::CONFIG, |params, context, _| {
        let known_version: u64 = params.one()?;
        let config = context.cell.current();
        Ok::<_, ErrorObjectOwned>(ConfigAnswer {
            config: (config.version > known_version).then(|| (*config).clone()),
        })
    })?;
    Ok(RpcListener {
        name: "peers",
        methods: module.into(),
        guard: move |headers: &HeaderMap| authenticate(headers, &secret),
    })
}

fn authenticate(headers: &HeaderMap, secret: &str) -> Result<Extensions, &'static str> {
    if !has_secret(headers, secret) {
        return Err("the fleet secret is missing or wrong");
    }
    let name = headers.get(headers::PEER_BOX);
    let name = name.and_then(|name| name.to_str().ok());
    let name = name.ok_or("the box's name is missing")?;
    let mut extensions = Extensions::new();
    extensions.insert(PeerIdentity(BoxKey::from_name(name)));
    Ok(extensions)
}

fn identity_of(extensions: &Extensions) -> Result<BoxKey, ErrorObjectOwned> {
    let identity = extensions.get::<PeerIdentity>();
    identity
        .map(|identity| identity.0)
        .ok_or_else(|| ErrorCode::InvalidRequest.into())
}

fn parse_batch(params: &Params) -> Result<Vec<PeerMessage>, ErrorObjectOwned> {
    params.parse()
}

fn actor_stopped() -> ErrorObjectOwned {
    ErrorCode::InternalError.into()
}
