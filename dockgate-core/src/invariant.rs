//! Invariants that are checked at run time, in every build.
//!
//! Violations are counted for the metrics. They panic in the unit tests of this crate, and after
//! [`set_fatal_invariants`] has turned that on.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

static VIOLATIONS: AtomicU64 = AtomicU64::new(0);
static FATAL: AtomicBool = AtomicBool::new(cfg!(test));

/// Sets whether violations panic.
pub fn set_fatal_invariants(fatal: bool) {
    FATAL.store(fatal, Ordering::Relaxed);
}

/// Returns the number of violations in this process.
pub fn invariant_violations() -> u64 {
    VIOLATIONS.load(Ordering::Relaxed)
}

/// Counts a violation if `holds` is false, and returns `holds`.
///
/// # Panics
///
/// Panics on a violation if [`set_fatal_invariants`] is on.
pub fn check_invariant(name: &'static str, holds: bool) -> bool {
    if !holds {
        VIOLATIONS.fetch_add(1, Ordering::Relaxed);
        assert!(!FATAL.load(Ordering::Relaxed), "invariant violated: {name}");
    }
    holds
}
