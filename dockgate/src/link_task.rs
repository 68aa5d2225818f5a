//! A link to one peer: a WebSocket on which batches of messages are exchanged by JSON-RPC.
//!
//! At most one batch is under way. What comes up meanwhile goes with the next, so that batches
//! grow by themselves when there is more to say. When a link breaks, whatever may not have been
//! delivered goes back to the control actor.

use crate::config_cell::ConfigCell;
use crate::dispatch::{DispatchHandle, LinkFailure, PeerBatch};
use crate::members::MemberBox;
use crate::metrics::METRICS;
use crate::settings::DaemonSettings;
use dockgate_core::Incarnation;
use dockgate_proto::{ConfigAnswer, HelloReply, PeerMessage, headers, methods};
use http::{HeaderMap, HeaderValue, header};
use jsonrpsee::core::ClientError;
use jsonrpsee::core::client::ClientT;
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::core::rpc_params;
use jsonrpsee::ws_client::{PingConfig, WsClient, WsClientBuilder};
use quick_error::quick_error;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The most messages in one batch.
const MOST_MESSAGES: usize = 512;
/// How long to wait before a batch is offered again to a peer that has no link to this box yet.
const NOT_LINKED: Duration = Duration::from_millis(20);
/// How long to wait before a broken link is opened again, in milliseconds.
const RETRY_MS: std::ops::Range<u64> = 50..200;

quick_error! {
    /// Why a link broke; each carries the step and the peer.
    #[derive(Debug)]
    enum LinkError {
        /// A call failed.
        Call(step: &'static str, peer: String, cause: ClientError) {
            display("peer {}: {}: {}", peer, step, cause)
        }
        /// The fleet secret cannot stand in a header.
        Secret(peer: String) {
            display("peer {}: connect: the fleet secret is not plain text", peer)
        }
    }
}

/// Queues messages for a link.
#[derive(Debug, Clone)]
pub(crate) struct LinkSender(mpsc::UnboundedSender<PeerMessage>);

impl LinkSender {
    /// Makes a queue; the receiver goes to the link's task.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<PeerMessage>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Queues a message.
    pub(crate) fn send(&self, message: PeerMessage) {
        // A link that has ended belongs to a box that is no more.
        let _ = self.0.send(message);
    }
}

/// Keeps a link to one peer open.
pub(crate) struct LinkTask {
    peer: MemberBox,
    settings: Arc<DaemonSettings>,
    incarnation: Incarnation,
    cell: ConfigCell,
    dispatch: DispatchHandle,
}

impl LinkTask {
    /// Makes the task.
    pub(crate) const fn new(
        peer: MemberBox,
        settings: Arc<DaemonSettings>,
        incarnation: Incarnation,
        cell: ConfigCell,
        dispatch: DispatchHandle,
    ) -> Self {
        Self {
            peer,
            settings,
            incarnation,
            cell,
            dispatch,
        }
    }

    /// Runs until the box is taken off the list.
    pub(crate) async fn run(self, mut receiver: mpsc::UnboundedReceiver<PeerMessage>) {
        loop {
            let mut undelivered = Vec::new();
            let ended = self.session(&mut receiver, &mut undelivered).await;
            let Err(error) = ended else { return };
            while let Ok(message) = receiver.try_recv() {
                undelivered.push(message);
            }
            if receiver.is_closed() {
                return;
            }
            let failure = LinkFailure {
                peer: self.peer.key,
                undelivered,
                reason: error.to_string(),
            };
            self.dispatch.link_down(failure).await;
            let pause = rand::random_range(RETRY_MS);
            tokio::time::sleep(Duration::from_millis(pause)).await;
        }
    }

    async fn session(
        &self,
        receiver: &mut mpsc::UnboundedReceiver<PeerMessage>,
        undelivered: &mut Vec<PeerMessage>,
    ) -> Result<(), LinkError> {
        let client = self.connect().await?;
        self.open(&client).await?;
        let mut batch = Vec::new();
        loop {
            if batch.is_empty() {
                tokio::select! {
                    count = receiver.recv_many(&mut batch, MOST_MESSAGES) => {
                        if count == 0 {
                            return Ok(());
                        }
                    }
                    cause = client.on_disconnect() => return Err(self.failed("wait")(cause)),
                }
            }
            let answered = self.exchange(&client, &batch).await;
            let answer = answered.inspect_err(|_| undelivered.append(&mut batch))?;
            let Some(answer) = answer else {
                // Closing this link too would make both sides wait for each other for ever.
                tokio::time::sleep(NOT_LINKED).await;
                continue;
            };
            batch.clear();
            let reaction = PeerBatch {
                from: self.peer.key,
                messages: answer,
            };
            if let Some(reaction) = self.dispatch.peer_batch(reaction).await {
                batch.extend(reaction);
            }
        }
    }

    fn failed(&self, step: &'static str) -> impl Fn(ClientError) -> LinkError {
        move |cause| LinkError::Call(step, self.peer.name.clone(), cause)
    }

    fn headers(&self) -> Option<HeaderMap> {
        let secret = format!("Bearer {}", self.settings.secrets.fleet);
        let mut secret = HeaderValue::from_str(&secret).ok()?;
        secret.set_sensitive(true);
        let name = HeaderValue::from_str(&self.settings.name).ok()?;
        let mut headers = HeaderMap::new();
        headers.insert(header::AUTHORIZATION, secret);
        headers.insert(headers::PEER_BOX, name);
        headers.insert(headers::PEER_INCARNATION, self.incarnation.0.into());
        Some(headers)
    }

    async fn connect(&self) -> Result<WsClient, LinkError> {
        let headers = self
            .headers()
            .ok_or_else(|| LinkError::Secret(self.peer.name.clone()))?;
        let suspect = self.settings.schedule.suspect;
        let ping = PingConfig::new()
            .ping_interval(suspect / 2)
            .inactive_limit(suspect)
            .max_failures(1);
        WsClientBuilder::new()
            .set_headers(headers)
            .request_timeout(self.settings.schedule.peer_timeout)
            .connection_timeout(self.settings.schedule.peer_timeout)
            .enable_ws_ping(ping)
            .build(format!("ws://{}", self.peer.address))
            .await
            .map_err(self.failed("connect"))
    }

    /// Replaces what the peer knows of this box, and learns what it lacks.
    async fn open(&self, client: &WsClient) -> Result<(), LinkError> {
        let Some(hello) = self.dispatch.prepare_hello(self.peer.key).await else {
            return Ok(());
        };
        let reply: HelloReply = client
            .request(methods::HELLO, rpc_params![hello])
            .await
            .map_err(self.failed("hello"))?;
        let mine = self.cell.current().version;
        if reply.config_version > mine {
            let answer: ConfigAnswer = client
                .request(methods::CONFIG, rpc_params![mine])
                .await
                .map_err(self.failed("config"))?;
            if let Some(config) = answer.config {
                self.cell.offer(config, &self.peer.name);
            }
        }
        self.dispatch.link_up(self.peer.key, reply).await;
        Ok(())
    }

    /// Hands a batch over; the peer takes nothing in while it has no link to this box.
    async fn exchange(
        &self,
        client: &WsClient,
        batch: &[PeerMessage],
    ) -> Result<Option<Vec<PeerMessage>>, LinkError> {
        METRICS.exchanges.inc();
        let mut params = ArrayParams::new();
        for message in batch {
            params
                .insert(message)
                .map_err(ClientError::ParseError)
                .map_err(self.failed("write a batch"))?;
        }
        client
            .request(methods::EXCHANGE, params)
            .await
            .map_err(self.failed("exchange"))
    }
}
