//! Random numbers for the stand-ins.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

static STATE: AtomicU64 = AtomicU64::new(0);

pub fn number() -> u64 {
    if STATE.load(Ordering::Relaxed) == 0 {
        let since = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        STATE.store(since.as_nanos() as u64 | 1, Ordering::Relaxed);
    }
    let mut mixed = STATE.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

pub fn below(bound: u64) -> u64 {
    number() % bound.max(1)
}

/// Returns `true` with a probability in thousandths.
pub fn chance(thousandths: u64) -> bool {
    below(1_000) < thousandths
}
