//! Invariants asserted inside the program, in every build.
//!
//! A violation is counted and logged by the caller's metric; in tests and in the bench it is fatal.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);
static FATAL: AtomicBool = AtomicBool::new(cfg!(test));

/// Makes every later violation panic (or not).
pub fn set_fatal_invariants(fatal: bool) {
    FATAL.store(fatal, Ordering::Relaxed);
}

/// Returns how many violations this process has seen.
pub fn invariant_violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Counts a violation unless `holds`, and returns `holds`.
///
/// # Panics
///
/// When violations are fatal, see [`set_fatal_invariants`].
pub fn check_invariant(name: &'static str, holds: bool) -> bool {
    if !holds {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        assert!(!FATAL.load(Ordering::Relaxed), "invariant broken: {name}");
    }
    holds
}
