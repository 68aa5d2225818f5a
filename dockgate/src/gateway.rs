//! The daemon as a gateway: routes requests by host and path to the endpoints of services.
//!
//! One thread serves everything, since a box has a part of one core. [`GatewayState`] holds what
//! the box believes; the tasks around it do the I/O: callers in `front`, endpoints in `upstream`,
//! the platform's store in `follow`, other boxes in `membership`, `datagram_receiver` and
//! `peer_state`.

mod call;
mod call_body;
mod datagram_receiver;
mod datagrams;
mod domain_watch;
mod end_check;
mod engine_seek;
mod event_stream;
mod events;
mod follow;
mod front;
mod gateway_gauges;
mod gateway_metrics;
mod gateway_runtime;
mod gateway_state;
mod kept_task;
mod membership;
mod notices;
mod overload;
mod peer_state;
mod quarantine;
mod quarantine_rpc;
mod quarantine_store;
mod readiness;
mod refusal;
mod reload;
mod run_guard;
mod settings;
mod sockets;
mod store_contact;
mod store_probe;
mod tracked_io;
mod upstream;
mod waking;
mod workspace_report;

pub(crate) use gateway_runtime::GatewayRuntime;
pub(crate) use settings::{GatewaySettings, is_gateway};

use crate::clock::{note_suspension, timeout};
use crate::error::DaemonError;
use crate::logging::drain_lines;
use crate::stop::wait_for_signal;
use dockgate_core::gateway::StateKind;
use events::{GatewayEvent, log_gateway};
use front::CallerFront;
use gateway_state::GatewayState;
use kept_task::keep_task;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::Signal;

/// How often the daemon looks whether its last request has been answered.
const DRAIN_POLL: Duration = Duration::from_millis(50);
/// For how long after its stop began, and after its last answer, a daemon still takes what crosses the stop.
const QUIET_BEFORE_END: Duration = Duration::from_millis(1_500);
/// How long the last log lines may take to be written.
const LAST_LINES: Duration = Duration::from_millis(200);
/// How much of the grace is kept for the end itself.
const END_MARGIN: Duration = Duration::from_millis(400);

/// Runs until the process is told to stop; `path` is the settings file, which may change.
///
/// # Errors
///
/// Returns an error where a socket cannot be opened.
pub(crate) fn run(
    runtime: GatewayRuntime,
    settings: GatewaySettings,
    path: &Path,
) -> Result<(), DaemonError> {
    // How far the clocks are apart now is no suspension of this process.
    note_suspension();
    let GatewayRuntime { runtime, reloads } = runtime;
    runtime.block_on(serve(settings, path, reloads))
}

async fn serve(
    settings: GatewaySettings,
    path: &Path,
    reloads: Option<Signal>,
) -> Result<(), DaemonError> {
    let callers = sockets::listen("listen for callers", settings.listen.callers)?;
    let readiness = sockets::listen("listen for readiness", settings.listen.readiness)?;
    let state_listener = sockets::listen("listen for state", settings.listen.state)?;
    let metrics = sockets::listen("listen for metrics", settings.listen.metrics)?;
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
    tokio::spawn(reload::follow_settings(
        state.clone(),
        path.to_owned(),
        reloads,
    ));
    let front = Arc::new(CallerFront::new(state.clone()));
    let accepting = tokio::spawn(front.clone().accept(callers));
    tokio::spawn(front.clone().sweep());

    wait_for_signal().await;
    drain(&state, &front).await;
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
    keep(state, "store role", store_probe::update_role_periodically);
    keep(state, "store probes", store_probe::run_probes);
    keep(state, "routes", follow::follow_routes);
    keep(state, "endpoints", follow::follow_endpoints);
    keep(state, "datagrams", datagram_receiver::receive_datagrams);
    keep(state, "beats", membership::send_heartbeats);
    keep(state, "lag", overload::watch_lag);
    keep(state, "domains", domain_watch::watch_domains);
    for (name, what) in [
        ("configurations of others", StateKind::Config),
        ("endpoints of others", StateKind::Endpoints),
    ] {
        keep(state, name, move |state| {
            peer_state::query_peers(state, what)
        });
    }
    let (stop, server) = jsonrpsee::server::stop_channel();
    // The door serves until the process ends.
    std::mem::forget(server);
    tokio::spawn(peer_state::state_rpc(state.clone())?.serve(state_listener, stop));
    Ok(())
}

/// Runs a task of this box for as long as the process.
fn keep<T, A>(state: &Arc<GatewayState>, name: &'static str, task: T)
where
    T: Fn(Arc<GatewayState>) -> A + Send + 'static,
    A: Future<Output = ()> + Send + 'static,
{
    let state = state.clone();
    keep_task(name, move || task(state.clone()));
}

/// Stops in order: not ready at once, goes on answering, and ends when nothing is open any more.
async fn drain(state: &GatewayState, front: &CallerFront) {
    log_gateway(&GatewayEvent::Stopping { open: front.open() });
    let grace = state.settings().stop_grace.saturating_sub(END_MARGIN);
    state.begin_stop(grace);
    front.begin_stop();
    membership::send_heartbeat(state);
    let ended = timeout(grace, async {
        while front.busy() > 0 || (front.open() > 0 && !front.is_quiet(QUIET_BEFORE_END)) {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    })
    .await;
    let cut = front.busy();
    log_gateway(&GatewayEvent::Stopped {
        in_time: ended.is_ok(),
        cut,
    });
    drain_lines(LAST_LINES);
}
