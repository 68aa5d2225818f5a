//! Whether a box that was suspended knows the present again.
//!
//! All that such a box believes is as old as the suspension was long, and others have acted on
//! newer things meanwhile: configurations, endpoints that left. What it reads in the first moments,
//! from connections that may be dead, says nothing. So it waits until the store, or a box of its
//! failure domain that the store hears, has told it something since; where nobody does, it serves
//! what it can.
//!
//! ```
//! use dockgate_core::gateway::ResumeGate;
//!
//! let mut gate = ResumeGate::default();
//! assert!(gate.is_open(None, 1_000));
//! gate.resume(6_000);
//! assert!(!gate.is_open(Some(1_000), 6_010));
//! assert!(gate.is_open(Some(6_200), 6_210));
//! ```

/// Whether what is believed was heard since the box woke.
#[derive(Debug, Clone, Copy, Default)]
pub struct ResumeGate {
    resumed_ms: Option<u64>,
}

impl ResumeGate {
    /// From which suspension on, in milliseconds, the gate closes: below it a box knows what it
    /// would know by its usual means, which hear of changes each 0.3 s.
    pub const MIN_SUSPENSION_MS: u64 = 300;
    /// For how long it is closed at most, in milliseconds: two probes of the store, or a beat and
    /// its answer, of which one is lost. Callers of plain services wait no longer than that for an
    /// answer.
    const MAX_CLOSED_MS: u64 = 1_000;

    /// How much later than it was made a proof may seem, in milliseconds: a digest that is kept for
    /// a tenth of a second, and its way.
    const MAX_PROOF_DELAY_MS: u64 = 150;

    /// Notes that the box has woken.
    pub const fn resume(&mut self, now_ms: u64) {
        self.resumed_ms = Some(now_ms);
    }

    /// Tells whether the box knows the present, where `proof_ms` is when the store last proved that
    /// it hears a box of this domain with whom this one agrees.
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

    /// Tells whether the box has not woken lately.
    pub const fn is_settled(&self) -> bool {
        self.resumed_ms.is_none()
    }
}

#[cfg(test)]
mod tests;
