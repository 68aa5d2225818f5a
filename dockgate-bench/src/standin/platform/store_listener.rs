//! A listener of the store that can be made unresponsive independently of others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The state of a listener.
#[derive(Debug)]
pub(super) struct ListenerState {
    silent: watch::Sender<bool>,
    /// Number of times that waiting watches were stalled.
    stall_count: AtomicU64,
    /// Prefixes whose watches are executed but never answered.
    lost_prefixes: Mutex<BTreeSet<String>>,
    /// When the last long watch of each prefix started, and how long it waits.
    last_watches: Mutex<BTreeMap<String, (Instant, Duration)>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ListenerState {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            silent: watch::channel(false).0,
            stall_count: AtomicU64::new(0),
            lost_prefixes: Mutex::default(),
            last_watches: Mutex::default(),
        })
    }

    /// Records a watch of `prefix` that starts now and waits for up to `wait`. A call that does not
    /// wait is no watch.
    pub(super) fn record_watch(&self, prefix: &str, wait: Duration) {
        if !wait.is_zero() {
            locked(&self.last_watches).insert(prefix.to_owned(), (Instant::now(), wait));
        }
    }

    /// Returns the number of times that waiting watches were stalled.
    pub(super) fn stall_count(&self) -> u64 {
        self.stall_count.load(Ordering::Acquire)
    }

    /// Returns an answer, or never completes if the listener is silent or the answer is lost: that
    /// of a watch which started when the stall count was `stall_count`, if watches were stalled
    /// since, and that of a watch of a prefix whose answers are lost. `watched` is the prefix of a
    /// watch.
    pub(super) async fn pass<T>(&self, answer: T, watched: Option<&str>, stall_count: u64) -> T {
        let is_lost = watched.is_some_and(|prefix| {
            stall_count < self.stall_count() || locked(&self.lost_prefixes).contains(prefix)
        });
        if *self.silent.borrow() || is_lost {
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

    /// Sets whether the answers to watches of `prefix` are lost. Once an answer is lost, nothing more
    /// is said on its connection.
    pub fn set_loses_answers(&self, prefix: &str, loses: bool) {
        let mut prefixes = locked(&self.state.lost_prefixes);
        match loses {
            true => prefixes.insert(prefix.to_owned()),
            false => prefixes.remove(prefix),
        };
    }

    /// Returns when the last watch of `prefix` started, and when it times out.
    pub fn watch(&self, prefix: &str) -> Option<(Instant, Instant)> {
        let last_watches = locked(&self.state.last_watches);
        let last_watch = last_watches.get(prefix).copied();
        last_watch.map(|(started, wait)| (started, started + wait))
    }
}
