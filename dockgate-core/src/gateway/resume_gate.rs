//! Holds back requests after a suspension until the state of the box is up to date.
//!
//! After a suspension, the state of a box is outdated: the configuration may have changed and
//! endpoints may have left. Data received in the first moments may come from dead connections. The
//! box therefore waits until the store has answered it, or a box of its failure domain, since it
//! resumed. If that does not happen in time, the box continues with the state that it has.
//!
//! ```
//! use dockgate_core::gateway::ResumeGate;
//!
//! let mut gate = ResumeGate::default();
//! assert!(gate.is_open(None, 1_000));
//! gate.close(6_000);
//! assert!(!gate.is_open(Some(1_000), 6_010));
//! assert!(gate.is_open(Some(6_200), 6_210));
//! ```

/// Tracks whether the state of the box was confirmed since it resumed.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResumeGate {
    resumed_ms: Option<u64>,
}

impl ResumeGate {
    /// The shortest suspension that closes the gate, in milliseconds: a shorter one causes no more
    /// delay than regular updates have.
    pub const MIN_SUSPENSION_MS: u64 = 300;
    /// The longest time for which the gate stays closed, in milliseconds: two store probes, or a
    /// heartbeat and its answer, with one lost. It bounds the additional delay of requests.
    const MAX_CLOSED_MS: u64 = 1_000;

    /// The longest delay with which a proof is reported, in milliseconds: covers the caching and
    /// the delivery of a digest.
    const MAX_PROOF_DELAY_MS: u64 = 150;

    /// Closes the gate after the box has resumed.
    pub const fn close(&mut self, now_ms: u64) {
        self.resumed_ms = Some(now_ms);
    }

    /// Returns whether the gate is open: the state of the box was confirmed, or the time limit has
    /// passed.
    ///
    /// `proof_ms` is the time of the store's last answer to a box of this domain, if this box has
    /// the same state as that domain.
    pub fn is_open(&mut self, proof_ms: Option<u64>, now_ms: u64) -> bool {
        let Some(resumed_ms) = self.resumed_ms else {
            return true;
        };
        let is_confirmed =
            proof_ms.is_some_and(|proof| proof >= resumed_ms + Self::MAX_PROOF_DELAY_MS);
        let is_open = is_confirmed || now_ms >= resumed_ms + Self::MAX_CLOSED_MS;
        if is_open {
            self.resumed_ms = None;
        }
        is_open
    }

    /// Returns whether the gate has reopened since the last resume.
    pub const fn is_settled(&self) -> bool {
        self.resumed_ms.is_none()
    }
}

#[cfg(test)]
mod tests;
