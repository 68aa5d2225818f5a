//! The state that the tasks of a gateway share.

mod evacuations;
mod store_access;

use super::encoded_updates::EncodedUpdates;
use super::events::{GatewayEvent, log_gateway};
use super::interrupted_parts::InterruptedParts;
use super::membership::DigestCache;
use super::memory_guard::resident_bytes;
use super::settings::GatewaySettings;
use super::shared_call::SharedCall;
use super::store_probe::StoreRole;
use super::stream_store::StreamListings;
use super::upstream::EndpointPools;
use super::version_store::LedgerUnread;
use crate::clock::{ClockInstant, now_ms};
use crate::metrics::METRICS;
use arc_swap::ArcSwap;
use dockgate_core::gateway::{
    AdmissionRequest, AdmissionVerdict, BoxHeartbeat, BoxStatus, EndpointChange, EndpointId,
    EndpointRegistry, EndpointUpdate, EngineRegistry, EngineWeights, EraTracker, FleetView,
    GenerationTimes, InterruptionTracker, LedgerKeeper, LoadShedder, LoopLag, MemoryBudget,
    OverflowBudget, PlainLoads, PrefixHistory, QuarantineChange, RemovedEndpoint, ResumeGate,
    RetryBudget, RevisionAge, RouteConfig, RouteTable, RunKey, ShareTally, ShareTracker,
    StopWindow, StoreFollower, StoreProbe, StoreRevision, StreamLog, StreamRegistry,
    SuspectRegistry, VersionHistory, WaitQueue, WarmupTracker,
};
use dockgate_core::{BoxKey, Incarnation};
use dockgate_platform::PlatformClient;
use dockgate_proto::StreamOrigin;
use serde_json::value::{RawValue, to_raw_value};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// How long a call to the store may take. Its answers take 4 ms, and sixty times that when it is slow.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How long a box that is no seed waits for heartbeats before it follows the store alone, in
/// milliseconds. The seeds of a large fleet that starts need this time to answer all boxes, which
/// would otherwise all list the store. Random, so that boxes without live seeds do not act in step.
const STARTUP_WAIT_MS: Range<u64> = 1_000..3_000;
/// How long it waits after it has met the first box of its domain before it may follow the store by
/// its rank, in milliseconds: one or two answers of coordinators, which list the first in rank.
const SETTLING_MS: Range<u64> = 100..200;

/// A prompt of this box that runs at an engine.
#[derive(Debug, Clone)]
pub(super) struct PlacedRun {
    /// The engine.
    pub(super) endpoint: EndpointId,
    /// The box to which the prompt was reported.
    pub(super) owner: BoxKey,
    /// The admission request for the prompt.
    pub(super) request: AdmissionRequest,
    /// Whether its first event was received.
    pub(super) started: bool,
    /// Its size in service units, once it counts as service admitted for its workspace.
    pub(super) admitted_units: Option<u64>,
}

/// One box's view of the fleet, the store and the endpoints, on which its decisions are based.
pub(super) struct GatewayView {
    /// The known endpoints.
    pub(super) endpoints: EndpointRegistry,
    /// The load of the engines.
    pub(super) engines: EngineRegistry,
    /// The requests at the endpoints of plain services that this box owns.
    pub(super) plain_loads: PlainLoads,
    /// What the workspaces requested and were granted.
    pub(super) shares: ShareTracker,
    /// The outcomes of their prompts on this box, for the log.
    pub(super) tally: ShareTally,
    /// The budget for sending requests to a second endpoint.
    pub(super) retries: RetryBudget,
    /// The era of the store.
    pub(super) eras: EraTracker,
    /// The boxes of the fleet.
    pub(super) fleet: FleetView,
    /// The last digests that were sent to many boxes.
    pub(super) digest: DigestCache,
    /// The last updates of endpoints that were sent to other boxes.
    pub(super) encoded_updates: EncodedUpdates,
    /// This box's prompts at engines, by run number.
    pub(super) runs: HashMap<u32, PlacedRun>,
    /// The endpoints that broke off answers recently.
    pub(super) interruptions: InterruptionTracker,
    /// The shared parts of the prompts that endpoints broke off.
    pub(super) interrupted_parts: InterruptedParts,
    /// The requests that are suspected of crashing endpoints.
    pub(super) suspects: SuspectRegistry,
    /// The prompt parts that engines recently read for this box.
    pub(super) prefix_history: PrefixHistory,
    /// The lag of this box's event loop.
    pub(super) lag: LoopLag,
    /// The fraction of its requests that this box accepts.
    pub(super) shedder: LoadShedder,
    /// Slot requests that wait for a verdict, by run number.
    pub(super) slot_requests: HashMap<u32, oneshot::Sender<AdmissionVerdict>>,
    /// Decides whether this box follows the store itself.
    pub(super) store: StoreFollower,
    /// The budget for asking engines that are no homes of a prompt.
    pub(super) overflow: OverflowBudget,
    /// Whether the store answers this box.
    pub(super) probe: StoreProbe,
    /// When this box last asked for the store's current revision.
    pub(super) revision_age: RevisionAge,
    /// The key prefixes whose last call was answered, with the revision up to which they are known.
    pub(super) store_revisions: BTreeMap<&'static str, StoreRevision>,
    /// Whether the view was refreshed since the last suspension of the box.
    pub(super) gate: ResumeGate,
    /// The endpoints that warm up.
    pub(super) warmups: WarmupTracker,
    /// The requests that wait at the endpoints that this box owns; none unless the fleet is
    /// contended.
    pub(super) wait_queues: BTreeMap<EndpointId, WaitQueue>,
    /// The software versions of the services over time.
    pub(super) versions: VersionHistory,
    /// The versions at which streams may have begun.
    pub(super) ledger: LedgerKeeper,
    /// The versions at which streams began.
    pub(super) streams: StreamRegistry,
    /// The versions of streams that this box writes to the store.
    pub(super) stream_log: StreamLog,
    /// Queries about streams that wait for answers of other boxes, by number.
    pub(super) stream_queries: HashMap<u32, mpsc::UnboundedSender<(BoxKey, StreamOrigin)>>,
    /// The prefill rates of engines and their weights in the placement of prompts.
    pub(super) engine_weights: EngineWeights,
    /// How long the streams of the services take.
    pub(super) generation_times: GenerationTimes,
}

/// A configuration, encoded for other boxes.
struct EncodedConfig {
    version: u64,
    json: Box<RawValue>,
}

/// The shared state of a gateway.
pub(super) struct GatewayState {
    settings: ArcSwap<GatewaySettings>,
    incarnation: Incarnation,
    own_key: BoxKey,
    table: ArcSwap<RouteTable>,
    /// The configuration in force in encoded form, once another box has requested it.
    encoded_config: Mutex<Option<EncodedConfig>>,
    view: Mutex<GatewayView>,
    /// The memory of the box. Apart from the view, since guards release it on drop.
    memory: Mutex<MemoryBudget>,
    role: watch::Sender<StoreRole>,
    recoveries: watch::Sender<u64>,
    /// The address of the store.
    store_address: watch::Sender<SocketAddr>,
    store_revision: watch::Sender<StoreRevision>,
    /// The revision after which other boxes are to be asked for removals.
    removal_check: watch::Sender<Option<StoreRevision>>,
    run_counter: AtomicU32,
    /// When the configuration in force was applied.
    config_changed_ms: AtomicU64,
    /// When the last change of an endpoint was received.
    endpoints_changed_ms: AtomicU64,
    /// Changes when a part of prompts goes into quarantine, so that sends with it are withdrawn.
    pub(super) quarantined_parts: watch::Sender<u64>,
    /// Whether a task is writing the quarantine to the store.
    pub(super) is_writing_quarantine: AtomicBool,
    /// Reads of the version ledger for requests.
    pub(super) ledger_reads: SharedCall<Result<(), LedgerUnread>>,
    /// The time from the signal to stop until the process ends, once it is stopping.
    stop: OnceLock<StopWindow>,
    /// Cancelled shortly before the process ends: requests without an answer are answered then.
    pub(super) final_answers_due: CancellationToken,
    /// The datagram socket to the other boxes.
    pub(super) datagrams: UdpSocket,
    /// Connections to endpoints.
    pub(super) pools: Arc<EndpointPools>,
    /// Notified when a request begins to wait at an endpoint that this box owns.
    pub(super) wait_began: Notify,
    /// Notified when streams are to be written to the store.
    pub(super) streams_appended: Notify,
    /// The listings of the stored streams.
    pub(super) stream_listings: StreamListings,
}

impl GatewayState {
    pub(super) fn new(settings: GatewaySettings, datagrams: UdpSocket) -> Self {
        let own = BoxHeartbeat::new(&settings.name, &settings.domain, settings.listen.peers)
            .state_address(settings.listen.state)
            .status(BoxStatus::new(settings.processor));
        let is_seed = settings.seeds.is_empty() || settings.seeds.contains(&settings.listen.state);
        let store = match is_seed {
            true => StoreFollower::with_startup_wait(StoreFollower::STARTUP_WAIT_MS, 0),
            false => StoreFollower::with_startup_wait(
                rand::random_range(STARTUP_WAIT_MS),
                rand::random_range(SETTLING_MS),
            ),
        };
        let view = GatewayView {
            endpoints: EndpointRegistry::default(),
            engines: EngineRegistry::default(),
            plain_loads: PlainLoads::default(),
            shares: ShareTracker::new(settings.share_window.as_millis() as u64),
            tally: ShareTally::default(),
            retries: RetryBudget::new(settings.retry_rule()),
            eras: EraTracker::default(),
            fleet: FleetView::new(own),
            digest: DigestCache::default(),
            encoded_updates: EncodedUpdates::default(),
            runs: HashMap::new(),
            interruptions: InterruptionTracker::default(),
            interrupted_parts: InterruptedParts::default(),
            suspects: SuspectRegistry::default(),
            prefix_history: PrefixHistory::default(),
            lag: LoopLag::default(),
            shedder: LoadShedder::default(),
            slot_requests: HashMap::new(),
            store,
            overflow: OverflowBudget::default(),
            probe: StoreProbe::default(),
            revision_age: RevisionAge::default(),
            store_revisions: BTreeMap::new(),
            gate: ResumeGate::default(),
            warmups: WarmupTracker::default(),
            wait_queues: BTreeMap::new(),
            versions: VersionHistory::default(),
            ledger: LedgerKeeper::default(),
            streams: StreamRegistry::default(),
            stream_log: StreamLog::default(),
            stream_queries: HashMap::new(),
            engine_weights: EngineWeights::default(),
            generation_times: GenerationTimes::default(),
        };
        let mut memory = MemoryBudget::new(settings.memory_bytes());
        memory.record_sample(resident_bytes(), now_ms());
        Self {
            own_key: BoxKey::from_name(&settings.name),
            incarnation: Incarnation(rand::random()),
            table: ArcSwap::default(),
            encoded_config: Mutex::new(None),
            view: Mutex::new(view),
            memory: Mutex::new(memory),
            role: watch::channel(StoreRole::default()).0,
            recoveries: watch::channel(0).0,
            store_address: watch::channel(settings.store).0,
            store_revision: watch::channel(StoreRevision::NONE).0,
            removal_check: watch::Sender::new(None),
            // A random start avoids reusing recent run numbers after a restart.
            run_counter: AtomicU32::new(rand::random()),
            config_changed_ms: AtomicU64::new(now_ms()),
            endpoints_changed_ms: AtomicU64::new(now_ms()),
            quarantined_parts: watch::Sender::new(0),
            is_writing_quarantine: AtomicBool::new(false),
            ledger_reads: SharedCall::default(),
            stop: OnceLock::new(),
            final_answers_due: CancellationToken::new(),
            datagrams,
            pools: Arc::default(),
            wait_began: Notify::new(),
            streams_appended: Notify::new(),
            stream_listings: StreamListings::default(),
            settings: ArcSwap::from_pointee(settings),
        }
    }

    /// Returns the settings in force.
    pub(super) fn settings(&self) -> Arc<GatewaySettings> {
        self.settings.load_full()
    }

    /// Replaces the settings, except for the listen addresses.
    pub(super) fn set_settings(&self, settings: GatewaySettings) {
        let listen = self.settings().listen;
        self.with(|view| {
            view.retries.set_rule(settings.retry_rule());
            view.shares
                .set_window(settings.share_window.as_millis() as u64);
        });
        self.with_memory(|memory| memory.set_machine(settings.memory_bytes()));
        self.store_address.send_if_modified(|address| {
            std::mem::replace(address, settings.store) != settings.store
        });
        self.settings
            .store(Arc::new(GatewaySettings { listen, ..settings }));
    }

    /// Returns the incarnation of this daemon.
    pub(super) const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the key of this box.
    pub(super) const fn own_key(&self) -> BoxKey {
        self.own_key
    }

    /// Returns the key of this box's run with this number.
    pub(super) const fn run_key(&self, number: u32) -> RunKey {
        RunKey {
            entry: self.own_key,
            number,
        }
    }

    /// Allocates a run number.
    pub(super) fn next_run_number(&self) -> u32 {
        self.run_counter.fetch_add(1, Ordering::Relaxed)
    }

    /// Creates a client of the store with its own connections.
    pub(super) fn store_client(&self) -> PlatformClient {
        PlatformClient::following(self.store_address.subscribe(), STORE_TIMEOUT)
    }

    /// Returns the routes in force.
    pub(super) fn table(&self) -> Arc<RouteTable> {
        self.table.load_full()
    }

    /// Returns the configuration in force, encoded for other boxes; `None` if encoding failed.
    ///
    /// Each version is encoded once, since a large configuration delays everything else on the
    /// thread.
    pub(super) fn encoded_config(&self) -> Option<Box<RawValue>> {
        let table = self.table();
        let version = table.config().version;
        let mut encoded = self
            .encoded_config
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let is_in_force = encoded.as_ref().is_some_and(|kept| kept.version == version);
        if !is_in_force {
            let json = to_raw_value(table.config())
                .inspect_err(|error| log::error!("encode configuration {version}: {error}"));
            *encoded = json.ok().map(|json| EncodedConfig { version, json });
        }
        encoded.as_ref().map(|kept| kept.json.clone())
    }

    /// Returns how long the configuration has been in force on this box, in milliseconds.
    pub(super) fn config_age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.config_changed_ms.load(Ordering::Relaxed))
    }

    /// Returns the time since this box received the last change of an endpoint, in milliseconds.
    pub(super) fn endpoints_age_ms(&self) -> u64 {
        now_ms().saturating_sub(self.endpoints_changed_ms.load(Ordering::Relaxed))
    }

    /// Locks the view and passes it to `change`, which must not block.
    pub(super) fn with<T>(&self, change: impl FnOnce(&mut GatewayView) -> T) -> T {
        // The view stays consistent even if a previous holder panicked.
        let mut view = self.view.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut view)
    }

    /// Locks the memory budget and passes it to `change`, which must not block.
    pub(super) fn with_memory<T>(&self, change: impl FnOnce(&mut MemoryBudget) -> T) -> T {
        let mut memory = self.memory.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut memory)
    }

    /// Returns whether the box is short of memory, so that other boxes serve callers better.
    pub(super) fn is_short_of_memory(&self) -> bool {
        self.with_memory(|memory| memory.diverts_connections(now_ms()))
    }

    /// Puts a configuration in force if it is newer than the current one.
    pub(super) fn apply_routes(&self, config: RouteConfig, source: &str) {
        let (old, new) = (self.table.load().config().version, config.version);
        if new <= old {
            return;
        }
        let (routes, workspaces) = (config.routes.len(), config.workspaces.len());
        self.table.store(Arc::new(RouteTable::new(config)));
        self.config_changed_ms.store(now_ms(), Ordering::Relaxed);
        METRICS.config_version.set(new as i64);
        log_gateway(&GatewayEvent::RoutesInForce {
            old,
            version: new,
            source,
            routes,
            workspaces,
        });
        self.publish_revisions();
    }

    /// Applies changes of endpoints, and closes the connections of removed endpoints.
    pub(super) fn apply_endpoints(
        &self,
        changes: Vec<EndpointChange>,
        kept_until_ms: Option<u64>,
        source: &str,
    ) {
        let changed = self.with(|view| view.endpoints.apply_all(changes, kept_until_ms));
        self.record_changes(&changed, source);
    }

    /// Returns the name of the software version of an endpoint; empty if it is unknown.
    pub(super) fn version_name(&self, id: EndpointId) -> String {
        self.with(|view| {
            let entry = view.endpoints.get(id);
            entry.map_or_else(String::new, |entry| entry.record.version.clone())
        })
    }

    /// Returns the revision up to which the endpoints are known.
    pub(super) fn endpoint_revision(&self) -> StoreRevision {
        self.with(|view| view.endpoints.revision())
    }

    /// Requests that other boxes are asked for the endpoints removed after `since`, if any endpoint
    /// is kept without a record.
    pub(super) fn request_removal_check(&self, since: StoreRevision) {
        if self.with(|view| view.endpoints.has_unconfirmed()) {
            self.removal_check.send_modify(|pending| {
                let earliest = pending.map_or(since, |requested| requested.min(since));
                *pending = Some(earliest);
            });
        }
    }

    /// Subscribes to the requested check of removals: the revision after which they are unknown.
    pub(super) fn removal_checks(&self) -> watch::Receiver<Option<StoreRevision>> {
        self.removal_check.subscribe()
    }

    /// Takes the requested check of removals.
    pub(super) fn take_removal_check(&self) -> Option<StoreRevision> {
        self.removal_check.send_replace(None)
    }

    /// Merges the removals reported by another box.
    pub(super) fn merge_removals(&self, removed: Vec<RemovedEndpoint>, source: &str) {
        let changes = self.with(|view| view.endpoints.merge_removals(removed));
        self.record_changes(&changes, source);
    }

    fn record_changes(&self, changes: &[EndpointChange], source: &str) {
        if !changes.is_empty() {
            self.endpoints_changed_ms.store(now_ms(), Ordering::Relaxed);
        }
        for change in changes {
            log_gateway(&GatewayEvent::endpoint(change, source));
        }
        self.publish_revisions();
    }

    /// Applies the store's listing of endpoints, except where newer changes are known.
    pub(super) fn replace_endpoints(
        &self,
        listed: Vec<EndpointChange>,
        revision: StoreRevision,
        kept_until_ms: Option<u64>,
    ) {
        let count = listed.len();
        let changed = self.with(|view| view.endpoints.replace(listed, revision, kept_until_ms));
        self.record_listing(changed, count, revision, "store");
    }

    /// Merges the endpoints reported by another box; returns whether both boxes now agree.
    pub(super) fn merge_endpoints(&self, update: EndpointUpdate, source: &str) -> bool {
        let (count, revision, is_whole) = (
            update.endpoints.len(),
            update.revision,
            update.since.is_none(),
        );
        // A box that has no state of the store reports era 0.
        self.record_era(Some(revision.era).filter(|era| *era > 0), source);
        let merged = self.with(|view| view.endpoints.merge(update, now_ms()));
        match is_whole {
            true => self.record_listing(merged.changed, count, revision, source),
            false => self.record_changes(&merged.changes, source),
        }
        merged.agrees
    }

    fn record_listing(&self, changed: bool, count: usize, revision: StoreRevision, source: &str) {
        if changed {
            self.endpoints_changed_ms.store(now_ms(), Ordering::Relaxed);
            log_gateway(&GatewayEvent::EndpointsListed {
                count,
                revision: revision.number,
                source,
            });
        }
        self.publish_revisions();
    }

    /// Updates the revisions in this box's heartbeat, and closes the connections of removed
    /// endpoints.
    pub(super) fn publish_revisions(&self) {
        let version = self.table.load().config().version;
        let connected = self.pools.endpoints();
        let removed = self.with(|view| {
            view.fleet.set_revisions(version, view.endpoints.revision());
            view.observe_versions(now_ms());
            view.observe_warmups(now_ms());
            let removed = connected.into_iter();
            let removed = removed.filter(|id| view.endpoints.get(*id).is_none());
            removed.collect::<Vec<EndpointId>>()
        });
        self.pools.remove(&removed);
    }

    /// Removes expired endpoints, boxes, runs and suspects. Returns the verdicts on suspects that
    /// are due without further evidence.
    pub(super) fn expire(&self, since_ms: u64) -> Vec<QuarantineChange> {
        let now = now_ms();
        let expected_boxes = self.settings().boxes;
        let (expired, taken_back, boxes, quarantined) = self.with(|view| {
            let GatewayView {
                endpoints,
                engines,
                plain_loads,
                fleet,
                runs,
                retries,
                interruptions,
                interrupted_parts,
                suspects,
                streams,
                ..
            } = view;
            interruptions.expire(now);
            interrupted_parts.expire(now);
            let quarantined = suspects.expire(now);
            streams.expire(now);
            let expired = endpoints.expire(now);
            let taken_back = endpoints.expire_evacuations(now);
            let gone = fleet.expire(since_ms, now);
            retries.set_boxes(expected_boxes.max(fleet.known_count()));
            let own_key = self.own_key;
            let is_gone = |run: RunKey| match run.entry == own_key {
                true => !runs.contains_key(&run.number),
                false => fleet.is_gone(run.entry, now),
            };
            engines.retain(now, |id| endpoints.get(id).is_some(), is_gone);
            plain_loads.retain(now, |id| endpoints.get(id).is_some(), is_gone);
            let gone = gone.iter().filter(|key| fleet.has_heartbeat(**key));
            let names: Vec<String> = gone.map(|key| fleet.name(*key).to_owned()).collect();
            view.update_warmups(now);
            view.observe_versions(now);
            (expired, taken_back, names, quarantined)
        });
        self.record_evacuations(&taken_back, "lapsed");
        for endpoint in &expired.lapsed {
            log_gateway(&GatewayEvent::EndpointGone {
                endpoint,
                source: "lapsed",
            });
        }
        for change in &expired.adopted {
            log_gateway(&GatewayEvent::endpoint(change, "adopted"));
        }
        for peer in &boxes {
            log_gateway(&GatewayEvent::BoxGone { peer });
        }
        if !expired.is_empty() {
            self.publish_revisions();
        }
        quarantined
    }

    /// Begins the graceful stop; the process ends `within` this time.
    pub(super) fn begin_stop(&self, within: Duration) {
        self.stop
            .get_or_init(|| StopWindow::new(now_ms(), within.as_millis() as u64));
        self.with(|view| view.fleet.set_leaving());
    }

    /// Returns whether a request with this deadline and predicted duration in milliseconds may be
    /// accepted: always, unless the process is stopping.
    pub(super) fn can_finish(
        &self,
        deadline: ClockInstant,
        predicted_ms: impl FnOnce() -> Option<u64>,
    ) -> bool {
        let time_left_ms = deadline.remaining().as_millis() as u64;
        self.stop
            .get()
            .is_none_or(|window| window.admits(now_ms(), time_left_ms, predicted_ms()))
    }

    /// Returns whether the daemon is stopping.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop.get().is_some()
    }

    /// Returns the time since the stop began, in milliseconds; `None` if the process is not stopping.
    pub(super) fn stopping_for_ms(&self) -> Option<u64> {
        self.stop.get().map(|window| window.elapsed_ms(now_ms()))
    }

    /// Returns whether the process ends, and aborts the requests in progress.
    pub(super) fn is_past_end(&self) -> bool {
        self.stop
            .get()
            .is_some_and(|window| window.is_past_end(now_ms()))
    }

    /// Returns whether the event loop is overloaded, so that other boxes serve callers better.
    pub(super) fn is_overloaded(&self) -> bool {
        self.with(|view| view.lag.is_overloaded())
    }

    /// Returns whether this box knows a configuration and the endpoints.
    pub(super) fn is_informed(&self) -> bool {
        let knows_endpoints = self.with(|view| view.endpoints.revision() > StoreRevision::NONE);
        self.table.load().config().version > 0 && knows_endpoints
    }

    /// Returns whether the box is ready to receive requests of callers.
    pub(super) fn is_ready(&self) -> bool {
        let is_configured = self.table.load().config().version > 0;
        let can_serve = self.with(|view| {
            let is_busy = view.lag.is_overloaded() || view.shedder.diverts_connections(now_ms());
            view.endpoints.iter().next().is_some() && !is_busy
        });
        let can_serve = can_serve && !self.is_short_of_memory();
        is_configured && can_serve && !self.is_stopping() && self.is_fresh()
    }
}

#[cfg(test)]
pub(super) mod tests;
