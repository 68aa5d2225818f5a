//! A listener of the store that can be made unresponsive independently of others.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The state of a listener.
#[derive(Debug)]
pub(super) struct ListenerState {
    silent: watch::Sender<bool>,
    /// Number of times that waiting watches were stalled.
    stall_count: AtomicU64,
    last_watch: Mutex<Option<(Instant, Duration)>>,
}

impl ListenerState {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            silent: watch::channel(false).0,
            stall_count: AtomicU64::new(0),
            last_watch: Mutex::new(None),
        })
    }

    /// Records a watch that starts now and waits for up to `wait`.
    pub(super) fn record_watch(&self, wait: Duration) {
        *self
            .last_watch
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Some((Instant::now(), wait));
    }

    /// Returns the number of times that waiting watches were stalled.
    pub(super) fn stall_count(&self) -> u64 {
        self.stall_count.load(Ordering::Acquire)
    }

    /// Returns an answer, or never completes if the listener is silent, or if the call is a watch
    /// and watches were stalled since it started, when their stall count was `stall_count`.
    pub(super) async fn pass<T>(&self, answer: T, is_watch: bool, stall_count: u64) -> T {
        if *self.silent.borrow() || (is_watch && stall_count < self.stall_count()) {
            std::future::pending::<()>().await;
        }
        answer
    }
}

/// A listener of the store, used by one box.
#[derive(Debug)]
pub struct StoreListener {
    /// The address on which it listens.
    pub address: SocketAddr,
    pub(super) state: Arc<ListenerState>,
}

impl StoreListener {
    /// Sets whether calls are executed but never answered, including those that already wait.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.send_replace(silent);
    }

    /// Never answers the watches that wait now; later calls are answered.
    pub fn stall_watches(&self) {
        self.state.stall_count.fetch_add(1, Ordering::AcqRel);
    }

    /// Returns when the last watch of endpoints started, and when it times out.
    pub fn watch(&self) -> Option<(Instant, Instant)> {
        let last_watch = self.state.last_watch.lock();
        let last_watch = *last_watch.unwrap_or_else(PoisonError::into_inner);
        last_watch.map(|(started, wait)| (started, started + wait))
    }
}
