//! Relays between failure domains: they delay, count bytes, and can be cut.

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

const CHUNK: usize = 16 << 10;

/// Bytes that passed a set of relays, both ways.
#[derive(Debug, Clone, Default)]
pub struct ByteCount(Arc<AtomicU64>);

impl ByteCount {
    /// Returns the bytes so far.
    pub fn total(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }

    fn add(&self, bytes: usize) {
        self.0.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// A relay in front of one address.
#[derive(Debug)]
pub struct LinkRelay {
    /// Where the relay listens.
    pub address: SocketAddr,
    cut: watch::Sender<bool>,
}

impl LinkRelay {
    /// Starts a relay to `target`.
    ///
    /// # Errors
    ///
    /// Returns an error where no port is free.
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
                // A cut relay drops the connection, as a firewall that resets does.
                if !*is_cut.borrow() {
                    let (count, is_cut) = (count.clone(), is_cut.clone());
                    tokio::spawn(pass(stream, target, delay, count, is_cut));
                }
            }
        });
        Ok(Self { address, cut })
    }

    /// Cuts the relay, open connections too, or heals it.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

async fn pass(
    near: TcpStream,
    target: SocketAddr,
    delay: Duration,
    count: ByteCount,
    mut is_cut: watch::Receiver<bool>,
) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = one_way(near_read, far_write, delay, count.clone());
    let back = one_way(far_read, near_write, delay, count);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = is_cut.wait_for(|cut| *cut) => {}
    }
}

/// Passes bytes one way, each piece after the delay.
async fn one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    delay: Duration,
    count: ByteCount,
) {
    let (sender, mut receiver) = mpsc::channel::<(Instant, BytesMut)>(256);
    let read = async move {
        loop {
            let mut piece = BytesMut::with_capacity(CHUNK);
            match from.read_buf(&mut piece).await {
                Ok(0) | Err(_) => return,
                Ok(read) => count.add(read),
            }
            if sender.send((Instant::now() + delay, piece)).await.is_err() {
                return;
            }
        }
    };
    let write = async move {
        while let Some((due, piece)) = receiver.recv().await {
            if !delay.is_zero() {
                tokio::time::sleep_until(due).await;
            }
            if to.write_all(&piece).await.is_err() {
                return;
            }
        }
        let _ = to.shutdown().await;
    };
    tokio::join!(read, write);
}
