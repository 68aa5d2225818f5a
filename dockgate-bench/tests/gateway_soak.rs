//! Short seeded runs of the gateway soak test, with seeds that found failures.

use dockgate_bench::gateway_fleet::{handles_signal, wait_until};
use dockgate_bench::gateway_soak::{SoakFaults, SoakOptions, run_soak};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::process::{Command, Stdio};
use std::time::Duration;
use yare::parameterized;

#[parameterized(
    all_faults_seed_1 = { SoakFaults::All, 1 },
    all_faults_seed_2 = { SoakFaults::All, 2 },
    reload_during_startup = { SoakFaults::All, 126 },
    caller_disconnects = { SoakFaults::CallerDisconnects, 2 },
    crashing_requests = { SoakFaults::CrashingRequests, 1 },
    crashing_parts = { SoakFaults::CrashingParts, 1 },
    endpoint_notices = { SoakFaults::Notices, 1 },
    store_restores = { SoakFaults::StoreRestores, 1 },
    evacuations = { SoakFaults::Evacuations, 1 },
    software_versions = { SoakFaults::SoftwareVersions, 1 },
    rejoins = { SoakFaults::Rejoins, 1 },
    planned_stops = { SoakFaults::PlannedStops, 1 },
    answers_cut_by_changed_limits = { SoakFaults::Reconfigurations, 43 },
)]
fn soak_finds_no_broken_guarantee(faults: SoakFaults, seed: u64) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let duration_s = match faults {
        // A box counts as connected only after some seconds.
        SoakFaults::CrashingRequests | SoakFaults::CrashingParts => 10,
        // The fault that the seed found comes late.
        SoakFaults::Reconfigurations => 10,
        // Streams are counted some seconds after all boxes were killed.
        SoakFaults::Rejoins => 8,
        _ => 4,
    };
    let options = SoakOptions {
        seed,
        duration: Duration::from_secs(duration_s),
        faults,
    };
    let report = runtime.block_on(run_soak(options)).unwrap();
    assert!(report.answered > 0, "{report:?}");
    assert!(report.violations.is_empty(), "{report:#?}");
}

/// Guards against a soak that ends silently on a signal and leaves its boxes running.
#[tokio::test]
async fn soak_reports_the_signal_that_ends_it() {
    let soak = Command::new(env!("CARGO_BIN_EXE_dockgate-bench"))
        .args(["soak", "--seconds", "60"])
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    wait_until("the soak handles SIGHUP", async || {
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
