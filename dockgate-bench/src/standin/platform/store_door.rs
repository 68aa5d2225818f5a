//! One address of the store, behind which it can fall silent for those who call there.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// What the calls at one address meet.
#[derive(Debug)]
pub(super) struct DoorState {
    silent: watch::Sender<bool>,
    watched: Mutex<Option<(Instant, Duration)>>,
}

impl DoorState {
    pub(super) fn new() -> Arc<Self> {
        Arc::new(Self {
            silent: watch::channel(false).0,
            watched: Mutex::new(None),
        })
    }

    /// Notes a watch that begins now and waits for so long.
    pub(super) fn note_watch(&self, wait: Duration) {
        *self.watched.lock().unwrap_or_else(PoisonError::into_inner) = Some((Instant::now(), wait));
    }

    /// Returns an answer, or never does while nothing is said here.
    pub(super) async fn pass<T>(&self, answer: T) -> T {
        if *self.silent.borrow() {
            std::future::pending::<()>().await;
        }
        answer
    }
}

/// An address of the store for one caller of it.
#[derive(Debug)]
pub struct StoreDoor {
    /// Where the store listens.
    pub address: SocketAddr,
    pub(super) state: Arc<DoorState>,
}

impl StoreDoor {
    /// Begins or ends a silence: calls are taken, carried out, and not answered; those that wait
    /// already are not answered either, ever.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.send_replace(silent);
    }

    /// Returns when the last watch of endpoints was begun here, and when it would end by itself.
    pub fn watch(&self) -> Option<(Instant, Instant)> {
        let watched = self.state.watched.lock();
        let watched = *watched.unwrap_or_else(PoisonError::into_inner);
        watched.map(|(begun, wait)| (begun, begun + wait))
    }
}
