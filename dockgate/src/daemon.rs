//! Puts the daemon's parts together, and takes them apart in order.

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

/// How often the end of the requests in flight is looked for.
const DRAIN_POLL: Duration = Duration::from_millis(20);
/// How long peers have to take in the last settles.
const LAST_WORDS: Duration = Duration::from_millis(100);

/// Runs the daemon until it is told to stop.
///
/// # Errors
///
/// Returns an error where a socket cannot be opened.
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
    // The list replaces the seeds as soon as it can be read.
    dispatch.set_members(settings.seeds.clone());
    tokio::spawn(follow_members(
        client,
        settings.domain.clone(),
        BoxKey::from_name(&settings.name),
        settings.platform.watch,
        dispatch.clone(),
    ));

    let (stop, stop_server) = stop_channel();
    let fleet = settings.secrets.fleet.clone();
    let door = peer_listener(dispatch.clone(), cell.clone(), fleet)?;
    tokio::spawn(door.serve(peers, stop.clone()));
    let token = settings.secrets.operator.clone();
    let door = operator_listener(store, cell.clone(), dispatch.clone(), token)?;
    tokio::spawn(door.serve(operators, stop));

    let flag = StopFlag::default();
    let door = CallerListener::new(
        settings.clone(),
        cell,
        dispatch.clone(),
        incarnation,
        flag.clone(),
    );
    let door = Arc::new(door);
    tokio::spawn(door.clone().serve_metrics(metrics));
    let serving = tokio::spawn(door.clone().serve(callers));
    wait_for_signal().await;
    drain(&settings, &dispatch, &flag, &door).await;
    serving.abort();
    drop(stop_server);
    Ok(())
}

/// Stops in order: not ready, endpoints handed over, requests in flight finished.
async fn drain(
    settings: &DaemonSettings,
    dispatch: &DispatchHandle,
    flag: &StopFlag,
    door: &CallerListener,
) {
    log_event(&LogEvent::Lifecycle { state: "stopping" });
    flag.set();
    dispatch.leave().await;
    // The balancer needs a moment to see that the box is not ready.
    tokio::time::sleep(settings.limits.stop_grace).await;
    let finished = async {
        while door.in_flight() > 0 {
            tokio::time::sleep(DRAIN_POLL).await;
        }
    };
    let finished = timeout(settings.limits.stop_timeout, finished).await;
    let state = match finished {
        Ok(()) => "stopped",
        Err(_) => "stopped with requests in flight",
    };
    tokio::time::sleep(LAST_WORDS).await;
    log_event(&LogEvent::Lifecycle { state });
}
