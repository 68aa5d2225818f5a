//! A link to one peer: a WebSocket that carries batches of messages as JSON-RPC calls.
//!
//! At most one batch is in flight. Messages that arrive meanwhile form the next batch, so batches
//! grow with the load. When a link fails, all messages that may not have been delivered are
//! returned to the control actor.

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

/// The maximum number of messages in one batch.
const MAX_BATCH_MESSAGES: usize = 512;
/// Delay before a batch is resent to a peer that has no link to this box yet.
const NOT_LINKED_DELAY: Duration = Duration::from_millis(20);
/// Random delay before a failed link is reopened, in milliseconds.
const REOPEN_DELAY_MS: std::ops::Range<u64> = 50..200;

quick_error! {
    /// The failure of a link, with the peer and the step.
    #[derive(Debug)]
    enum LinkError {
        /// A call failed.
        Call(step: &'static str, peer: String, cause: ClientError) {
            display("peer {}: {}: {}", peer, step, cause)
        }
        /// The fleet secret is not a valid header value.
        Secret(peer: String) {
            display("peer {}: connect: the fleet secret is not a valid header value", peer)
        }
    }
}

/// Queues messages for a link.
#[derive(Debug, Clone)]
pub(crate) struct LinkSender(mpsc::UnboundedSender<PeerMessage>);

impl LinkSender {
    /// Creates a queue; the receiver belongs to the task of the link.
    pub(crate) fn new() -> (Self, mpsc::UnboundedReceiver<PeerMessage>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self(sender), receiver)
    }

    /// Queues a message.
    pub(crate) fn send(&self, message: PeerMessage) {
        // The task of a link ends only when its box was removed.
        let _ = self.0.send(message);
    }
}

/// Keeps the link to one peer open.
pub(crate) struct LinkTask {
    peer: MemberBox,
    settings: Arc<DaemonSettings>,
    incarnation: Incarnation,
    cell: ConfigCell,
    dispatch: DispatchHandle,
}

impl LinkTask {
    /// Creates the task.
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

    /// Runs until the box is removed from the list.
    pub(crate) async fn run(self, mut receiver: mpsc::UnboundedReceiver<PeerMessage>) {
        loop {
            let mut undelivered = Vec::new();
            let result = self.run_session(&mut receiver, &mut undelivered).await;
            let Err(error) = result else { return };
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
            let delay = rand::random_range(REOPEN_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay)).await;
        }
    }

    async fn run_session(
        &self,
        receiver: &mut mpsc::UnboundedReceiver<PeerMessage>,
        undelivered: &mut Vec<PeerMessage>,
    ) -> Result<(), LinkError> {
        let client = self.connect().await?;
        self.open_session(&client).await?;
        let mut batch = Vec::new();
        loop {
            if batch.is_empty() {
                tokio::select! {
                    count = receiver.recv_many(&mut batch, MAX_BATCH_MESSAGES) => {
                        if count == 0 {
                            return Ok(());
                        }
                    }
                    cause = client.on_disconnect() => return Err(self.call_error("wait")(cause)),
                }
            }
            let result = self.exchange(&client, &batch).await;
            let reply = result.inspect_err(|_| undelivered.append(&mut batch))?;
            let Some(reply) = reply else {
                // Closing this link as well could make both sides wait for each other forever.
                tokio::time::sleep(NOT_LINKED_DELAY).await;
                continue;
            };
            batch.clear();
            let peer_batch = PeerBatch {
                from: self.peer.key,
                messages: reply,
            };
            if let Some(messages) = self.dispatch.peer_batch(peer_batch).await {
                batch.extend(messages);
            }
        }
    }

    fn call_error(&self, step: &'static str) -> impl Fn(ClientError) -> LinkError {
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
            .map_err(self.call_error("connect"))
    }

    /// Exchanges hellos with the peer and fetches a newer configuration from it.
    async fn open_session(&self, client: &WsClient) -> Result<(), LinkError> {
        let Some(hello) = self.dispatch.prepare_hello(self.peer.key).await else {
            return Ok(());
        };
        let reply: HelloReply = client
            .request(methods::HELLO, rpc_params![hello])
            .await
            .map_err(self.call_error("hello"))?;
        let local_version = self.cell.current().version;
        if reply.config_version > local_version {
            let answer: ConfigAnswer = client
                .request(methods::CONFIG, rpc_params![local_version])
                .await
                .map_err(self.call_error("config"))?;
            if let Some(config) = answer.config {
                self.cell.offer(config, &self.peer.name);
            }
        }
        self.dispatch.link_up(self.peer.key, reply).await;
        Ok(())
    }

    /// Sends a batch and returns the reply; `None` if the peer has no link to this box yet.
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
                .map_err(self.call_error("write a batch"))?;
        }
        client
            .request(methods::EXCHANGE, params)
            .await
            .map_err(self.call_error("exchange"))
    }
}
