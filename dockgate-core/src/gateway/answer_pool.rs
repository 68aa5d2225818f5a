//! Memory for the answers that a box reads whole.
//!
//! An endpoint in trouble may send bytes without end. Until an answer is complete, such bytes cannot
//! be told from a large answer, so what all answers hold together is bounded. Each answer may grow
//! up to what is still free (dynamic thresholds, Choudhury and Hahne, 1998): answers without end
//! always leave room for others, and one large answer may use half of the pool.
//!
//! ```
//! use dockgate_core::gateway::AnswerPool;
//!
//! let mut pool = AnswerPool::new(Some(64 << 20));
//! assert!(pool.try_grow(0, 15 << 20));
//! assert!(!pool.try_grow(15 << 20, 2 << 20), "it would hold more than is free");
//! assert!(pool.try_grow(0, 8 << 20), "another one has room");
//! ```

/// The memory that answers hold until they are read whole and written to their callers.
#[derive(Debug, Clone, Copy, Default)]
pub struct AnswerPool {
    /// The size of the pool in bytes; `None` if it is not limited.
    size: Option<u64>,
    /// The bytes in use.
    used: u64,
}

impl AnswerPool {
    /// The size up to which every answer may grow, in bytes.
    pub const SMALL_BYTES: u64 = 64 << 10;
    /// The part of the machine's memory that answers may use.
    const FRACTION: f64 = 0.5;

    /// Creates the pool of a machine with this memory in bytes; `None` limits nothing.
    pub fn new(machine: Option<u64>) -> Self {
        let mut pool = Self::default();
        pool.set_machine(machine);
        pool
    }

    /// Sets the memory of the machine in bytes.
    pub fn set_machine(&mut self, machine: Option<u64>) {
        self.size = machine.map(|bytes| (bytes as f64 * Self::FRACTION) as u64);
    }

    /// Counts `more` bytes of an answer that holds `held`, if they fit; returns whether they do.
    pub fn try_grow(&mut self, held: u64, more: u64) -> bool {
        let after = held + more;
        let free = self
            .size
            .map(|size| size.saturating_sub(self.used.saturating_add(more)));
        let fits = after <= Self::SMALL_BYTES || free.is_none_or(|free| after <= free);
        if fits {
            self.used += more;
        }
        fits
    }

    /// Releases bytes that were counted.
    pub const fn release(&mut self, bytes: u64) {
        self.used = self.used.saturating_sub(bytes);
    }
}

#[cfg(test)]
mod tests;
