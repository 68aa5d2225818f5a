//! A small demonstration fleet that can be called with `curl`.

use crate::error::BenchError;
use crate::fleet::{BenchFleet, workspace_key};
use crate::scenario::{BenchArm, BenchScenario};
use std::path::Path;

const DEMO_SCENARIO: &str = "\
[fleet]
domains = hall-a, hall-b
boxes_per_domain = 1

[pool small]
kind = engine
endpoints = 4
slots = 8
tokens_per_second = 30

[pool status]
kind = service
endpoints = 2
slots = 8

[workspace accessibility]
share = 2

[workspace chapters]
share = 1

[kind quiz]
";

/// Starts the fleet, prints example commands, and runs until SIGINT or SIGTERM.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started.
pub async fn run_demo() -> Result<(), BenchError> {
    let scenario = BenchScenario::parse("demo", "demo.ini", DEMO_SCENARIO)?;
    let mut fleet = BenchFleet::start(scenario, &BenchArm::fair()).await?;
    let (first, last) = (&fleet.daemons[0], &fleet.daemons[fleet.daemons.len() - 1]);
    let key = workspace_key("accessibility");
    println!(
        "The fleet is ready with {} boxes. Try these commands in another shell:\n",
        fleet.daemons.len()
    );
    println!(
        "  curl -N http://{}/v1/chat/completions -H 'Authorization: Bearer {key}' \\\n    \
         -d '{{\"model\":\"small\",\"stream\":true,\"max_tokens\":20,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"hello n1\"}}]}}'\n",
        first.caller_address()
    );
    println!(
        "  curl http://{}/services/status/build/7 -H 'Authorization: Bearer {key}'\n",
        last.caller_address()
    );
    let program = program_path("dockgatectl");
    println!(
        "  {program} --operator {} --token-file {} status\n",
        first.operator_address(),
        fleet.path().join("operator.token").display()
    );
    println!(
        "Log of the first box, with one JSON line per decision: {}",
        first.log_path().display()
    );
    println!("Press Ctrl-C to stop the fleet.");
    wait_for_shutdown().await;
    fleet.stop().await;
    Ok(())
}

/// Waits for SIGINT or SIGTERM, so that the daemons are stopped gracefully in both cases.
async fn wait_for_shutdown() {
    use tokio::signal::unix::{SignalKind, signal};
    // The fleet stops at once if the signal handler cannot be registered.
    let Ok(mut terminate) = signal(SignalKind::terminate()) else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
}

fn program_path(name: &str) -> String {
    let current_exe = std::env::current_exe().unwrap_or_default();
    let folder = current_exe.parent().unwrap_or(Path::new(""));
    let path = folder.join(name);
    let current = std::env::current_dir().unwrap_or_default();
    let short = path.strip_prefix(&current).unwrap_or(&path);
    short.display().to_string()
}
