//! Gateway mode of the daemon: routes requests by host and path to the endpoints of services.
//!
//! Everything runs on one thread, since a box has a fraction of one core. [`GatewayState`] holds
//! the shared state; the tasks around it do the I/O: with callers in `caller_listener`, with
//! endpoints in `upstream`, with the platform's store in `follow`, and with other boxes in
//! `membership`, `datagram_receiver` and `peer_state`.

mod call;
mod call_body;
mod caller_listener;
mod counted_body;
mod datagram_receiver;
mod datagrams;
mod domain_watch;
mod encoded_updates;
mod end_check;
mod engine_placement;
mod engine_rates;
mod event_stream;
mod events;
mod follow;
mod gateway_gauges;
mod gateway_metrics;
mod gateway_runtime;
mod gateway_state;
mod interrupted_parts;
mod membership;
mod memory_guard;
mod notices;
mod overload;
mod peer_state;
mod pending_slot_request;
mod placement_goal;
mod plain_placement;
mod quarantine;
mod quarantine_rpc;
mod quarantine_store;
mod readiness;
mod refusal;
mod reload;
mod removal_check;
mod run_guard;
mod settings;
mod shared_call;
mod sockets;
mod store_contact;
mod store_probe;
mod stream_origins;
mod stream_store;
mod supervised_task;
mod suspension;
mod tracked_io;
mod upstream;
mod version_store;
mod wait_queues;
mod wait_window;
mod warmup_grants;
mod workspace_report;

pub(crate) use gateway_runtime::GatewayRuntime;
pub(crate) use settings::{GatewaySettings, is_gateway_file};

use crate::clock::{detect_suspension, timeout};
use crate::error::DaemonError;
use crate::logging::flush_lines;
use crate::stop::wait_for_signal;
use caller_listener::CallerListener;
use dockgate_core::gateway::{StateKind, StopWindow};
use events::{GatewayEvent, log_gateway};
use gateway_state::GatewayState;
use sockets::{UNREAD_TIMEOUT, USER_TIMEOUT};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use supervised_task::spawn_supervised;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::Signal;

/// How often a stopping daemon checks whether all requests are answered.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a stopping daemon stays idle, after the stop began and after its last answer, before it
/// ends: callers that have not noticed still send requests and open connections.
const QUIET_PERIOD: Duration = Duration::from_millis(1_500);
/// How long the remaining log lines may take to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// How long the answers to requests that have none may take to be written before the process ends.
const FINAL_ANSWER_TIME: Duration = Duration::from_millis(StopWindow::FINAL_ANSWER_MS);
/// The part of the grace period that is reserved for the end of the process.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Runs until the process is asked to stop; `path` is the settings file, which may be reloaded.
///
/// # Errors
///
/// Returns an error if a socket cannot be opened.
pub(crate) fn run(
    runtime: GatewayRuntime,
    settings: GatewaySettings,
    path: &Path,
) -> Result<(), DaemonError> {
    // Sets the baseline: the current difference between the clocks is not a suspension.
    detect_suspension();
    let GatewayRuntime {
        runtime,
        reload_signals,
    } = runtime;
    let served = runtime.block_on(serve(settings, path, reload_signals));
    // Aborts the requests in progress, which log how far they came.
    drop(runtime);
    flush_lines(LOG_FLUSH_TIMEOUT);
    served
}

async fn serve(
    settings: GatewaySettings,
    path: &Path,
    reload_signals: Option<Signal>,
) -> Result<(), DaemonError> {
    let callers = sockets::listen(
        "listen for callers",
        settings.listen.callers,
        UNREAD_TIMEOUT,
    )?;
    let readiness = sockets::listen(
        "listen for readiness",
        settings.listen.readiness,
        USER_TIMEOUT,
    )?;
    let state_listener = sockets::listen("listen for state", settings.listen.state, USER_TIMEOUT)?;
    let metrics = sockets::listen("listen for metrics", settings.listen.metrics, USER_TIMEOUT)?;
    let datagrams = UdpSocket::bind(settings.listen.peers)
        .await
        .map_err(|cause| {
            DaemonError::Listen("listen for peers", settings.listen.peers.to_string(), cause)
        })?;
    log_gateway(&GatewayEvent::Started {
        settings: &settings,
    });

    let state = Arc::new(GatewayState::new(settings, datagrams));
    start_tasks(&state, readiness, metrics, state_listener)?;
    tokio::spawn(reload::watch_settings(
        state.clone(),
        path.to_owned(),
        reload_signals,
    ));
    let listener = Arc::new(CallerListener::new(state.clone()));
    let accepting = tokio::spawn(listener.clone().accept(callers));
    tokio::spawn(listener.clone().sweep());

    wait_for_signal().await;
    // The grace period may have changed since the file was read.
    reload::reload_settings(&state, path, false, "");
    drain(&state, &listener).await;
    accepting.abort();
    Ok(())
}

fn start_tasks(
    state: &Arc<GatewayState>,
    readiness: TcpListener,
    metrics: TcpListener,
    state_listener: TcpListener,
) -> Result<(), DaemonError> {
    tokio::spawn(readiness::serve_readiness(state.clone(), readiness));
    tokio::spawn(readiness::serve_metrics(state.clone(), metrics));
    spawn_with_state(state, "store role", store_probe::update_role_periodically);
    spawn_with_state(state, "store probes", store_probe::run_probes);
    spawn_with_state(state, "versions", version_store::keep_ledger);
    spawn_with_state(state, "routes", follow::follow_operator);
    spawn_with_state(state, "endpoints", follow::follow_endpoints);
    spawn_with_state(state, "datagrams", datagram_receiver::receive_datagrams);
    spawn_with_state(state, "beats", membership::send_heartbeats);
    spawn_with_state(state, "lag", overload::watch_lag);
    spawn_with_state(state, "domains", domain_watch::watch_domains);
    spawn_with_state(state, "waits", wait_queues::process_queues);
    spawn_with_state(state, "removals", removal_check::check_removals);
    spawn_with_state(state, "stream writes", stream_store::write_streams);
    spawn_with_state(state, "stream listings", stream_store::list_streams);
    for (name, kind) in [
        ("configurations of others", StateKind::Config),
        ("endpoints of others", StateKind::Endpoints),
    ] {
        spawn_with_state(state, name, move |state| {
            peer_state::query_peers(state, kind)
        });
    }
    let (stop, server) = jsonrpsee::server::stop_channel();
    // Dropping the handle would stop the listener.
    std::mem::forget(server);
    tokio::spawn(peer_state::state_rpc(state.clone())?.serve(state_listener, stop));
    Ok(())
}

/// Spawns a task that is restarted if it panics.
fn spawn_with_state<T, A>(state: &Arc<GatewayState>, name: &'static str, task: T)
where
    T: Fn(Arc<GatewayState>) -> A + Send + 'static,
    A: Future<Output = ()> + Send + 'static,
{
    let state = state.clone();
    spawn_supervised(name, move || task(state.clone()));
}

/// Stops gracefully: reports not ready at once, and serves requests until none is left or the grace
/// period is over. Requests that have no answer shortly before its end are answered by the box.
async fn drain(state: &GatewayState, listener: &CallerListener) {
    log_gateway(&GatewayEvent::Stopping {
        open: listener.open(),
    });
    let grace = state.settings().stop_grace.saturating_sub(END_MARGIN);
    state.begin_stop(grace);
    listener.begin_stop();
    membership::send_heartbeat(state);
    let until_idle = async || {
        while listener.busy() > 0 || !listener.is_quiet(QUIET_PERIOD) {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    let in_time = match timeout(grace.saturating_sub(FINAL_ANSWER_TIME), until_idle()).await {
        Ok(()) => true,
        // A box that was held up at this moment needs the time for the answers all the same.
        Err(_) => {
            state.final_answers_due.cancel();
            timeout(FINAL_ANSWER_TIME, until_idle()).await.is_ok()
        }
    };
    let cut = listener.busy();
    log_gateway(&GatewayEvent::Stopped { in_time, cut });
}
