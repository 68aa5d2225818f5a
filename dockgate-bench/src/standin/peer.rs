//! A stand-in for another box: it says that it lives and what it knows, and tells that when asked.

use crate::error::BenchError;
use dockgate_core::gateway::{BoxHeartbeat, BoxStatus, StoreRevision};
use dockgate_core::{BoxKey, Incarnation};
use dockgate_proto::{GatewayDatagram, GatewayMessage, StateAnswer, StateRequest, methods};
use jsonrpsee::RpcModule;
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

/// How often it says that it lives.
const BEAT: Duration = Duration::from_millis(100);

/// A box that knows more than the one it speaks to, and tells its configuration as slowly as it is told.
pub struct PeerStandIn {
    holds_config: Arc<watch::Sender<bool>>,
    _server: ServerHandle,
    _beats: DropGuard,
}

impl PeerStandIn {
    /// Starts a box of failure domain `a` that says to the box at `to` that it knows `answer`; its
    /// datagrams and its state have the ports of `own` and `own_state`.
    ///
    /// A question in whose answer the configuration would be waits until
    /// [`PeerStandIn::release_config`].
    ///
    /// # Errors
    ///
    /// Returns an error where it cannot listen.
    pub async fn start(
        own: SocketAddr,
        own_state: SocketAddr,
        to: SocketAddr,
        answer: StateAnswer,
    ) -> Result<Self, BenchError> {
        let io = |cause| BenchError::Io("start", "a stand-in of a box".to_owned(), cause);
        let holds_config = Arc::new(watch::channel(true).0);
        let config_version = answer.config.as_ref().map_or(0, |config| config.version);
        let endpoint_revision = answer
            .endpoints
            .as_ref()
            .map_or(StoreRevision::NONE, |news| news.revision);
        let beat = BoxHeartbeat::new("peer", "a", own)
            .state_address(own_state)
            .status(BoxStatus::new(4_000))
            .revisions(config_version, endpoint_revision);
        let server = Server::builder().build(own_state).await.map_err(io)?;
        let server = server.start(state_module(answer, holds_config.clone()));
        let socket = UdpSocket::bind(own).await.map_err(io)?;
        let stop = CancellationToken::new();
        let beats = stop.clone().drop_guard();
        tokio::spawn(async move {
            tokio::select! {
                () = keep_beating(socket, to, beat) => {}
                () = stop.cancelled() => {}
            }
        });
        Ok(Self {
            holds_config,
            _server: server,
            _beats: beats,
        })
    }

    /// Lets the answers go that have the configuration in them.
    pub fn release_config(&self) {
        self.holds_config.send_replace(false);
    }
}

struct PeerContext {
    answer: StateAnswer,
    holds_config: Arc<watch::Sender<bool>>,
}

fn state_module(
    answer: StateAnswer,
    holds_config: Arc<watch::Sender<bool>>,
) -> RpcModule<PeerContext> {
    let mut module = RpcModule::new(PeerContext {
        answer,
        holds_config,
    });
    module
        .register_async_method(methods::STATE, |params, context, _| async move {
            let request: StateRequest = params.one()?;
            Ok::<_, ErrorObjectOwned>(tell(&context, request).await)
        })
        .expect("the module has one method");
    module
}

async fn tell(context: &PeerContext, request: StateRequest) -> StateAnswer {
    let answer = &context.answer;
    let config = answer.config.clone();
    let config = config.filter(|config| config.version > request.config_version);
    if config.is_some() {
        let mut held = context.holds_config.subscribe();
        // The sender lives as long as the context does.
        let _ = held.wait_for(|holds| !holds).await;
    }
    let endpoints = answer.endpoints.clone();
    let endpoints = endpoints.filter(|news| news.revision > request.endpoint_revision);
    StateAnswer { config, endpoints }
}

async fn keep_beating(socket: UdpSocket, to: SocketAddr, beat: BoxHeartbeat) {
    for sequence in 1.. {
        let datagram = GatewayDatagram {
            from: BoxKey::from_name(&beat.name),
            incarnation: Incarnation(1),
            message: GatewayMessage::Heartbeat {
                heartbeat: beat.clone().sequence(sequence),
                shares: Vec::new(),
            },
        };
        if let Ok(bytes) = datagram.encode() {
            // A datagram may be lost; the next one says the same.
            let _ = socket.send_to(&bytes, to).await;
        }
        tokio::time::sleep(BEAT).await;
    }
}
