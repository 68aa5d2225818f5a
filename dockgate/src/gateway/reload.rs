//! Reloads the settings on SIGHUP and when the file has changed.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_state::GatewayState;
use super::settings::GatewaySettings;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::Signal;

/// Interval at which the file is checked without a signal.
const POLL_INTERVAL: Duration = Duration::from_secs(3);

/// Waits for SIGHUP, or forever if there is no handler.
async fn recv_signal(signals: &mut Option<Signal>) {
    match signals {
        Some(signals) => {
            signals.recv().await;
        }
        None => std::future::pending().await,
    }
}

/// Watches the settings file until the process ends. Invalid settings are logged and ignored.
pub(super) async fn watch_settings(
    state: Arc<GatewayState>,
    path: PathBuf,
    mut signals: Option<Signal>,
) {
    let mut last_problem = String::new();
    loop {
        let signal = tokio::select! {
            () = recv_signal(&mut signals) => true,
            () = tokio::time::sleep(POLL_INTERVAL) => false,
        };
        last_problem = reload_settings(&state, &path, signal, &last_problem);
    }
}

/// Reads the settings once; returns the problem if they are invalid, or an empty text.
///
/// A problem is logged if a `signal` asked for the reload, or if it is not the `last_problem`.
pub(super) fn reload_settings(
    state: &GatewayState,
    path: &Path,
    signal: bool,
    last_problem: &str,
) -> String {
    let problem = match GatewaySettings::load(path) {
        Ok(settings) => {
            let changed = settings != *state.settings();
            if changed {
                state.set_settings(settings);
            }
            if changed || signal {
                log_gateway(&GatewayEvent::Reloaded {
                    signal,
                    changed,
                    problem: None,
                });
            }
            String::new()
        }
        Err(error) => error.to_string(),
    };
    if !problem.is_empty() && (signal || problem != last_problem) {
        let problem = Some(problem.as_str());
        log_gateway(&GatewayEvent::Reloaded {
            signal,
            changed: false,
            problem,
        });
    }
    problem
}
