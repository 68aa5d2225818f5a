//! A short seeded run of the soak of gateways, and each seed that ever failed.

use dockgate_bench::gateway_fleet::{handles_signal, wait_until};
use dockgate_bench::gateway_soak::{SoakFaults, SoakOptions, run_soak};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::process::{Command, Stdio};
use std::time::Duration;
use yare::parameterized;

#[parameterized(
    first = { SoakFaults::All, 1 },
    second = { SoakFaults::All, 2 },
    // A SIGHUP met a box that was starting, and ended it. What a box can do about that is tested with
    // a pipe in place of its settings; the soak no longer sends one before the program runs.
    reloaded_while_starting = { SoakFaults::All, 126 },
    // Boxes that are stopped for most of the time: four requests reached an endpoint over half a second after
    // their callers had left, and 24 were worked on for so long.
    callers_that_leave = { SoakFaults::CallerDisconnects, 2 },
    endpoints_end = { SoakFaults::CrashingRequests, 1 },
    endpoints_give_notice = { SoakFaults::Notices, 1 },
    the_store_loses_its_last_seconds = { SoakFaults::StoreRestores, 1 },
)]
fn no_promise_breaks(faults: SoakFaults, seed: u64) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let lasts_s = match faults {
        // It takes seconds until a box counts as in touch.
        SoakFaults::CrashingRequests => 10,
        _ => 4,
    };
    let options = SoakOptions {
        seed,
        duration: Duration::from_secs(lasts_s),
        faults,
    };
    let seen = runtime.block_on(run_soak(options)).unwrap();
    assert!(seen.answered > 0, "{seen:?}");
    assert!(seen.violations.is_empty(), "{seen:#?}");
}

/// Soaks that a shell had started ended without a word as the shell did, and the boxes that they had started lived on.
#[tokio::test]
async fn a_soak_that_is_ended_from_outside_says_so() {
    let soak = Command::new(env!("CARGO_BIN_EXE_dockgate-bench"))
        .args(["soak", "--seconds", "60"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    wait_until("the soak listens", async || {
        handles_signal(soak.id(), Signal::SIGHUP)
    })
    .await;
    kill(Pid::from_raw(soak.id() as i32), Signal::SIGHUP).unwrap();
    let ended = soak.wait_with_output().unwrap();
    assert_eq!(ended.status.code(), Some(4));
    assert_eq!(
        String::from_utf8_lossy(&ended.stdout),
        "ended from outside by SIGHUP\n"
    );
}
