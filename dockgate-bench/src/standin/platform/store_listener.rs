//! One address of the store, behind which it can fall silent for those who call there.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// What the calls at one address meet.
#[derive(Debug)]
pub(super) struct ListenerState {
    silent: watch::Sender<bool>,
    /// How often the watches that waited were dropped.
    dropped: AtomicU64,
    watched: Mutex<Option<(Instant, Duration)>>,
}

impl ListenerState {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            silent: watch::channel(false).0,
            dropped: AtomicU64::new(0),
            watched: Mutex::new(None),
        })
    }

    /// Notes a watch that begins now and waits for so long.
    pub(super) fn note_watch(&self, wait: Duration) {
        *self.watched.lock().unwrap_or_else(PoisonError::into_inner) = Some((Instant::now(), wait));
    }

    /// Returns how often watches were dropped.
    pub(super) fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Acquire)
    }

    /// Returns an answer, or never does while nothing is said here, or where the call is one of the
    /// watches that were dropped since it came; `dropped` is how often that had happened by then.
    pub(super) async fn pass<T>(&self, answer: T, is_watch: bool, dropped: u64) -> T {
        if *self.silent.borrow() || (is_watch && dropped < self.dropped()) {
            std::future::pending::<()>().await;
        }
        answer
    }
}

/// An address of the store for one caller of it.
#[derive(Debug)]
pub struct StoreListener {
    /// Where the store listens.
    pub address: SocketAddr,
    pub(super) state: Arc<ListenerState>,
}

impl StoreListener {
    /// Begins or ends a silence: calls are taken, carried out, and not answered; those that wait
    /// already are not answered either, ever.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.send_replace(silent);
    }

    /// Silences the connections on which watches wait now; whatever is called later is answered.
    pub fn stall_watches(&self) {
        self.state.dropped.fetch_add(1, Ordering::AcqRel);
    }

    /// Returns when the last watch of endpoints was begun here, and when it would end by itself.
    pub fn watch(&self) -> Option<(Instant, Instant)> {
        let watched = self.state.watched.lock();
        let watched = *watched.unwrap_or_else(PoisonError::into_inner);
        watched.map(|(begun, wait)| (begun, begun + wait))
    }
}
