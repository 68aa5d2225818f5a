//! A short seeded run of the soak of gateways, and each seed that ever failed.

use dockgate_bench::gateway_soak::{SoakFaults, SoakOptions, run_soak};
use std::time::Duration;
use yare::parameterized;

#[parameterized(
    first = { 1 },
    second = { 2 },
    // A SIGHUP met a box that was starting, and ended it. What a box can do about that is tested with
    // a pipe in place of its settings; the soak no longer sends one before the program runs.
    reloaded_while_starting = { 126 },
)]
fn no_promise_breaks(seed: u64) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let options = SoakOptions {
        seed,
        lasts: Duration::from_secs(4),
        faults: SoakFaults::All,
    };
    let seen = runtime.block_on(run_soak(options)).unwrap();
    assert!(seen.answered > 0, "{seen:?}");
    assert!(seen.broken.is_empty(), "{seen:#?}");
}
