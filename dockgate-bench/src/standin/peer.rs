//! A stand-in for another box that sends heartbeats and answers state requests.

use crate::error::BenchError;
use dockgate_core::gateway::{
    BoxHeartbeat, BoxStatus, EndpointUpdate, RouteConfig, StoreRevision, UsageRow,
};
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

/// Interval between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// A box whose answers with a configuration can be held back.
pub struct PeerStandIn {
    state_address: SocketAddr,
    is_config_held: Arc<watch::Sender<bool>>,
    endpoints: Arc<watch::Sender<Option<EndpointUpdate>>>,
    reported_usage: watch::Receiver<Vec<UsageRow>>,
    _server: ServerHandle,
    _heartbeats: DropGuard,
}

impl PeerStandIn {
    /// Starts a box in failure domain `a` that announces the state `answer` to the box at `to`. It
    /// uses `own` for datagrams and `own_state` for state requests.
    ///
    /// Answers with a configuration are held back until [`PeerStandIn::release_config`].
    ///
    /// # Errors
    ///
    /// Returns an error if it cannot listen.
    pub async fn start(
        own: SocketAddr,
        own_state: SocketAddr,
        to: SocketAddr,
        answer: StateAnswer,
    ) -> Result<Self, BenchError> {
        let io = |cause| BenchError::Io("start", "a stand-in of a box".to_owned(), cause);
        let is_config_held = Arc::new(watch::channel(true).0);
        let config_version = answer.config.as_ref().map_or(0, |config| config.version);
        let endpoint_revision = answer
            .endpoints
            .as_ref()
            .map_or(StoreRevision::NONE, |update| update.revision);
        let heartbeat = BoxHeartbeat::new("peer", "a", own)
            .state_address(own_state)
            .status(BoxStatus::new(4_000))
            .revisions(config_version, endpoint_revision);
        let server = Server::builder().build(own_state).await.map_err(io)?;
        let endpoints = Arc::new(watch::Sender::new(answer.endpoints));
        let context = PeerContext {
            config: answer.config,
            endpoints: endpoints.clone(),
            is_config_held: is_config_held.clone(),
        };
        let server = server.start(state_module(context));
        let socket = UdpSocket::bind(own).await.map_err(io)?;
        let stop = CancellationToken::new();
        let heartbeats = stop.clone().drop_guard();
        let (usage, reported_usage) = watch::channel(Vec::new());
        tokio::spawn(async move {
            tokio::select! {
                () = send_heartbeats(&socket, to, heartbeat) => {}
                () = receive_usage(&socket, usage) => {}
                () = stop.cancelled() => {}
            }
        });
        Ok(Self {
            state_address: own_state,
            is_config_held,
            endpoints,
            reported_usage,
            _server: server,
            _heartbeats: heartbeats,
        })
    }

    /// Returns the address that answers state requests.
    pub const fn state_address(&self) -> SocketAddr {
        self.state_address
    }

    /// Waits for the next heartbeat and returns the usage by workspace in it.
    pub async fn next_usage(&mut self) -> Vec<UsageRow> {
        self.reported_usage.mark_unchanged();
        // The sender is dropped only with this stand-in.
        let _ = self.reported_usage.changed().await;
        self.reported_usage.borrow().clone()
    }

    /// Changes its answer about endpoints. Its heartbeats still announce the initial revision.
    pub fn set_endpoints(&self, update: EndpointUpdate) {
        self.endpoints.send_replace(Some(update));
    }

    /// Releases the answers with a configuration.
    pub fn release_config(&self) {
        self.is_config_held.send_replace(false);
    }
}

struct PeerContext {
    config: Option<RouteConfig>,
    endpoints: Arc<watch::Sender<Option<EndpointUpdate>>>,
    is_config_held: Arc<watch::Sender<bool>>,
}

fn state_module(context: PeerContext) -> RpcModule<PeerContext> {
    let mut module = RpcModule::new(context);
    module
        .register_async_method(methods::STATE, |params, context, _| async move {
            let request: StateRequest = params.one()?;
            Ok::<_, ErrorObjectOwned>(answer_request(&context, request).await)
        })
        .expect("the module has one method");
    module
}

async fn answer_request(context: &PeerContext, request: StateRequest) -> StateAnswer {
    let config = context.config.clone();
    let config = config.filter(|config| config.version > request.config_version);
    if config.is_some() {
        let mut is_held = context.is_config_held.subscribe();
        // The context owns the sender, so the channel stays open.
        let _ = is_held.wait_for(|is_held| !is_held).await;
    }
    let endpoints = context.endpoints.borrow().clone();
    let endpoints = endpoints.filter(|update| update.revision > request.endpoint_revision);
    StateAnswer { config, endpoints }
}

/// Keeps the usage of the last heartbeat, until the socket fails.
async fn receive_usage(socket: &UdpSocket, usage: watch::Sender<Vec<UsageRow>>) {
    const MAX_DATAGRAM: usize = 65_536;
    let mut buffer = vec![0; MAX_DATAGRAM];
    while let Ok(length) = socket.recv(&mut buffer).await {
        let datagram = GatewayDatagram::decode(&buffer[..length]);
        if let Ok(GatewayMessage::Heartbeat { shares, .. }) = datagram.map(|it| it.message) {
            usage.send_replace(shares);
        }
    }
}

async fn send_heartbeats(socket: &UdpSocket, to: SocketAddr, heartbeat: BoxHeartbeat) {
    for sequence in 1.. {
        let datagram = GatewayDatagram {
            from: BoxKey::from_name(&heartbeat.name),
            incarnation: Incarnation(1),
            message: GatewayMessage::Heartbeat {
                heartbeat: heartbeat.clone().sequence(sequence),
                shares: Vec::new(),
            },
            evacuations: Vec::new(),
            rates: Vec::new(),
        };
        if let Ok(bytes) = datagram.encode() {
            // The next datagram replaces a lost one.
            let _ = socket.send_to(&bytes, to).await;
        }
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
    }
}
