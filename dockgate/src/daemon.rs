//! Starts the parts of the daemon and stops them in order.

use crate::caller::CallerListener;
use crate::clock::{timeout, watch_suspensions};
use crate::config_cell::{ConfigCell, watch_config};
use crate::dispatch::{DispatchActor, DispatchHandle};
use crate::error::DaemonError;
use crate::logging::{LogEvent, log_event};
use crate::members::follow_members;
use crate::operator_listener::operator_listener;
use crate::peer_listener::peer_listener;
use crate::settings::{DaemonSettings, PlatformSettings};
use crate::stop::{StopFlag, wait_for_signal};
use dockgate_config::ConfigStore;
use dockgate_core::{BoxKey, Incarnation};
use dockgate_platform::PlatformClient;
use jsonrpsee::server::stop_channel;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;

/// Interval of the checks for requests in flight while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time for the links to deliver the last settles.
const FINAL_SETTLE_DELAY: Duration = Duration::from_millis(100);

/// Runs the daemon until it receives a stop signal.
///
/// # Errors
///
/// Returns an error if the runtime cannot be started or a socket cannot be opened.
pub(crate) fn run(settings: DaemonSettings) -> Result<(), DaemonError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(DaemonError::Runtime)?;
    runtime.block_on(serve(Arc::new(settings)))
}

async fn listen(step: &'static str, address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .map_err(|cause| DaemonError::Listen(step, address.to_string(), cause))
}

async fn serve(settings: Arc<DaemonSettings>) -> Result<(), DaemonError> {
    let callers = listen("listen for callers", settings.listen.callers).await?;
    let peers = listen("listen for peers", settings.listen.peers).await?;
    let operators = listen("listen for operators", settings.listen.operators).await?;
    let metrics = listen("listen for metrics", settings.listen.metrics).await?;
    log_event(&LogEvent::Lifecycle { state: "starting" });

    let PlatformSettings {
        address, timeout, ..
    } = settings.platform;
    let client = PlatformClient::new(address, timeout);
    let store = ConfigStore::new(client.clone());
    let cell = ConfigCell::new();
    let incarnation = Incarnation(rand::random());
    let dispatch = DispatchActor::new(settings.clone(), incarnation, cell.clone()).spawn();
    dispatch.follow_config(&cell);
    tokio::spawn(watch_suspensions());
    tokio::spawn(watch_config(
        cell.clone(),
        store.clone(),
        settings.platform.watch,
    ));
    // The list of the platform replaces the seeds once it can be read.
    dispatch.set_members(settings.seeds.clone());
    tokio::spawn(follow_members(
        client,
        settings.domain.clone(),
        BoxKey::from_name(&settings.name),
        settings.platform.watch,
        dispatch.clone(),
    ));

    let (stop_handle, server_handle) = stop_channel();
    let fleet = settings.secrets.fleet.clone();
    let listener = peer_listener(dispatch.clone(), cell.clone(), fleet)?;
    tokio::spawn(listener.serve(peers, stop_handle.clone()));
    let token = settings.secrets.operator.clone();
    let listener = operator_listener(store, cell.clone(), dispatch.clone(), token)?;
    tokio::spawn(listener.serve(operators, stop_handle));

    let stop_flag = StopFlag::default();
    let caller_listener = CallerListener::new(
        settings.clone(),
        cell,
        dispatch.clone(),
        incarnation,
        stop_flag.clone(),
    );
    let caller_listener = Arc::new(caller_listener);
    tokio::spawn(caller_listener.clone().serve_metrics(metrics));
    let serve_task = tokio::spawn(caller_listener.clone().serve(callers));
    wait_for_signal().await;
    drain(&settings, &dispatch, &stop_flag, &caller_listener).await;
    serve_task.abort();
    drop(server_handle);
    Ok(())
}

/// Reports not ready, hands the endpoints over and waits for the requests in flight.
async fn drain(
    settings: &DaemonSettings,
    dispatch: &DispatchHandle,
    stop_flag: &StopFlag,
    caller_listener: &CallerListener,
) {
    log_event(&LogEvent::Lifecycle { state: "stopping" });
    stop_flag.set();
    dispatch.leave().await;
    // Gives the load balancer time to notice that the box is not ready.
    tokio::time::sleep(settings.limits.stop_grace).await;
    let all_finished = async {
        while caller_listener.in_flight() > 0 {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    };
    let drained = timeout(settings.limits.stop_timeout, all_finished).await;
    let state = match drained {
        Ok(()) => "stopped",
        Err(_) => "stopped with requests in flight",
    };
    tokio::time::sleep(FINAL_SETTLE_DELAY).await;
    log_event(&LogEvent::Lifecycle { state });
}
