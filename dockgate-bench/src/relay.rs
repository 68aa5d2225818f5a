//! TCP relays that add delay, count bytes, and can be cut.

use crate::error::BenchError;
use bytes::BytesMut;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

const CHUNK_BYTES: usize = 16 << 10;

/// Number of bytes that passed a set of relays, in both directions.
#[derive(Debug, Clone, Default)]
pub struct ByteCount(Arc<AtomicU64>);

impl ByteCount {
    /// Returns the number of bytes so far.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A relay to one address.
#[derive(Debug)]
pub struct LinkRelay {
    /// The address on which it listens.
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl LinkRelay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(
        target: SocketAddr,
        delay: Duration,
        count: ByteCount,
    ) -> Result<Self, BenchError> {
        let bind = |cause| BenchError::Io("listen", "for a relay".to_owned(), cause);
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
            .await
            .map_err(bind)?;
        let address = listener.local_addr().map_err(bind)?;
        let (cut, is_cut) = watch::channel(false);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // A cut relay closes new connections.
                if !*is_cut.borrow() {
                    let (count, is_cut) = (count.clone(), is_cut.clone());
                    tokio::spawn(relay_connection(stream, target, delay, count, is_cut));
                }
            }
        });
        Ok(Self { address, cut })
    }

    /// Cuts the relay and its open connections, or restores it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn relay_connection(
    client: TcpStream,
    target: SocketAddr,
    delay: Duration,
    count: ByteCount,
    mut is_cut: watch::Receiver<bool>,
) {
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (client.set_nodelay(true), target_stream.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (target_read, target_write) = target_stream.into_split();
    let outbound = forward(client_read, target_write, delay, count.clone());
    let inbound = forward(target_read, client_write, delay, count);
    tokio::select! {
        _ = async { tokio::join!(outbound, inbound) } => {}
        _ = is_cut.wait_for(|cut| *cut) => {}
    }
}

/// Forwards bytes in one direction, each chunk after the delay.
async fn forward(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: Duration,
    count: ByteCount,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, BytesMut)>(256);
    let read = async move {
        loop {
            let mut chunk = BytesMut::with_capacity(CHUNK_BYTES);
            match from.read_buf(&mut chunk).await {
                Ok(0) | Err(_) => return,
                Ok(read) => count.add(read),
            }
            if sender.send((Instant::now() + delay, chunk)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, chunk)) = receiver.recv().await {
            if !delay.is_zero() {
                tokio::time::sleep_until(due).await;
            }
            if to.write_all(&chunk).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}
