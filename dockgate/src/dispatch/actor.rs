//! The control actor.

use super::handle::{BindReply, BoundSlot, DispatchHandle};
use super::peer_links::{PeerLink, PeerLinks};
use crate::clock::now_ms;
use crate::config_cell::ConfigCell;
use crate::link_task::{LinkSender, LinkTask};
use crate::logging::{LogEvent, log_event};
use crate::members::MemberBox;
use crate::metrics::METRICS;
use crate::settings::DaemonSettings;
use dockgate_core::{
    AdoptedGrant, BoxKey, EntryAction, EntryState, FleetConfig, FleetTopology, GrantId, GrantOffer,
    Incarnation, LiveBox, SchedulePolicy, SettleReport, SlotDemand, SlotOutcome, SlotRequestPolicy,
    SlotScheduler,
};
use dockgate_proto::PeerMessage;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use tokio::sync::oneshot;
use xtra::Actor;

/// Owns the state of the entry and the scheduler of one box.
pub(crate) struct DispatchActor {
    pub(super) settings: Arc<DaemonSettings>,
    pub(super) local_box: LiveBox,
    pub(super) incarnation: Incarnation,
    pub(super) cell: ConfigCell,
    pub(super) config: Arc<FleetConfig>,
    pub(super) topology: FleetTopology,
    pub(super) entry: EntryState,
    pub(super) scheduler: SlotScheduler,
    pub(super) bind_replies: HashMap<u64, oneshot::Sender<BindReply>>,
    /// By grant, the sender that asks the running request to pause.
    pub(super) pause_senders: HashMap<GrantId, oneshot::Sender<()>>,
    pub(super) links: PeerLinks,
    pub(super) handle: Option<DispatchHandle>,
    pub(super) live_boxes: Vec<LiveBox>,
    pub(super) has_ledger: bool,
    pub(super) report_due_ms: u64,
    /// The peer whose batch is being handled, with the messages of the reply.
    pub(super) batch_reply: Option<(BoxKey, Vec<PeerMessage>)>,
}

impl DispatchActor {
    /// Creates the actor with empty state.
    pub(crate) fn new(
        settings: Arc<DaemonSettings>,
        incarnation: Incarnation,
        cell: ConfigCell,
    ) -> Self {
        let local_box = LiveBox {
            key: BoxKey::from_name(&settings.name),
            domain: settings.domain.clone(),
            may_schedule: true,
        };
        let schedule = &settings.schedule;
        let schedule_policy = SchedulePolicy {
            mode: schedule.mode,
            order: schedule.order,
            pause: schedule.pause,
            locality_ms: schedule.locality.as_millis() as u64,
            grant_ttl_ms: schedule.grant_ttl.as_millis() as u64,
            adopt_ms: schedule.adopt.as_millis() as u64,
        };
        let request_policy = SlotRequestPolicy {
            widen_ms: schedule.widen.as_millis() as u64,
            width: schedule.width,
        };
        let mut entry = EntryState::new(request_policy);
        entry.connect(local_box.key);
        Self {
            scheduler: SlotScheduler::new(local_box.key, incarnation, schedule_policy),
            settings,
            live_boxes: vec![local_box.clone()],
            local_box,
            incarnation,
            cell,
            config: Arc::default(),
            topology: FleetTopology::default(),
            entry,
            bind_replies: HashMap::new(),
            pause_senders: HashMap::new(),
            links: PeerLinks::default(),
            handle: None,
            has_ledger: false,
            report_due_ms: 0,
            batch_reply: None,
        }
    }

    /// Starts the actor.
    pub(crate) fn spawn(self) -> DispatchHandle {
        let address = xtra::spawn_tokio(self, xtra::Mailbox::unbounded());
        DispatchHandle::new(address)
    }

    /// Applies the actions of the entry and grants free slots until no action is left.
    pub(super) fn process_actions(&mut self, actions: Vec<EntryAction>) {
        let now = now_ms();
        let mut actions = VecDeque::from(actions);
        loop {
            while let Some(action) = actions.pop_front() {
                self.apply_action(action, now);
            }
            for grant in self.scheduler.schedule(now) {
                self.log_grant(&grant);
                match grant.entry == self.local_box.key {
                    true => actions.extend(self.entry.bind_grant(self.local_box.key, grant)),
                    false => self.send(grant.entry, grant_message(&grant)),
                }
            }
            if actions.is_empty() {
                break;
            }
        }
    }

    pub(super) fn apply_action(&mut self, action: EntryAction, now: u64) {
        match action {
            EntryAction::RequestSlots(request) => {
                let age = self.entry.age_ms(request.pool, request.workspace, now);
                let demand = SlotDemand {
                    pool: request.pool,
                    workspace: request.workspace,
                    waiting: request.waiting,
                    grants_seen: request.grants_seen,
                    age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                };
                self.request_slots(request.to, demand, now);
            }
            EntryAction::Bind(id, grant) => self.bind(id, grant),
            EntryAction::Return(to, id) => {
                self.settle(to, id, 0.0, Some(SlotOutcome::Answered), now);
            }
            EntryAction::Expire(id) => {
                if let Some(reply) = self.bind_replies.remove(&id) {
                    let _ = reply.send(BindReply::Expired);
                }
            }
        }
    }

    pub(super) fn request_slots(&mut self, to: BoxKey, demand: SlotDemand, now: u64) {
        if to == self.local_box.key {
            self.scheduler.update_demand(to, demand, now);
            return;
        }
        let message = PeerMessage::SlotRequest(
            demand.pool,
            demand.workspace,
            demand.waiting,
            demand.grants_seen,
            demand.age_ms,
        );
        self.send(to, message);
    }

    /// Hands a grant to its waiting request, or returns the grant if the request is gone.
    pub(super) fn bind(&mut self, id: u64, grant: GrantOffer) {
        let (pause_sender, pause) = oneshot::channel();
        self.pause_senders.insert(grant.id, pause_sender);
        let reply = self.bind_replies.remove(&id);
        let slot = BoundSlot { grant, pause };
        let sent = reply.map(|reply| reply.send(BindReply::Bound(slot)));
        if !matches!(sent, Some(Ok(()))) {
            self.finish(grant.id, 0.0, SlotOutcome::Answered);
        }
    }

    pub(super) fn settle(
        &mut self,
        to: BoxKey,
        id: GrantId,
        cost: f64,
        ended: Option<SlotOutcome>,
        now: u64,
    ) {
        if to == self.local_box.key {
            let report = SettleReport { id, cost, ended };
            self.scheduler.settle(to, report, now);
            return;
        }
        let cost = cost as u64;
        let message = match ended {
            None => PeerMessage::Progress(id, cost),
            Some(SlotOutcome::Answered) => PeerMessage::Settle(id, cost),
            Some(SlotOutcome::Full) => PeerMessage::Refused(id),
            Some(SlotOutcome::Backoff(backoff_ms)) => PeerMessage::Backoff(id, backoff_ms),
            Some(SlotOutcome::Lost) => PeerMessage::Lost(id, cost),
        };
        self.send(to, message);
    }

    pub(super) fn finish(&mut self, id: GrantId, cost: f64, slot_outcome: SlotOutcome) {
        self.pause_senders.remove(&id);
        if let Some(scheduler) = self.entry.finish(id) {
            self.settle(scheduler, id, cost, Some(slot_outcome), now_ms());
        }
    }

    /// Asks a running request to free its slot; one that cannot be paused continues.
    pub(super) fn pause(&mut self, id: GrantId) {
        if let Some(pause_sender) = self.pause_senders.remove(&id) {
            let _ = pause_sender.send(());
        }
    }

    /// Asks entries to pause streams whose slots are due to other workspaces.
    pub(super) fn request_pauses(&mut self, now: u64) {
        for (entry, id) in self.scheduler.select_pauses(now) {
            log_event(&LogEvent::PauseAsked {
                grant: id.to_string(),
                entry: entry.to_string(),
            });
            match entry == self.local_box.key {
                true => self.pause(id),
                false => self.send(entry, PeerMessage::Pause(id)),
            }
        }
    }

    /// Sends a message to a peer: in the reply if its batch is being handled, else by the link.
    pub(super) fn send(&mut self, to: BoxKey, message: PeerMessage) {
        match &mut self.batch_reply {
            Some((peer, reply)) if *peer == to => reply.push(message),
            _ => self.links.send(to, message),
        }
    }

    /// Handles one message of a peer and returns the actions of the entry.
    pub(super) fn receive(
        &mut self,
        from: BoxKey,
        message: PeerMessage,
        now: u64,
    ) -> Vec<EntryAction> {
        let step = message.step();
        let is_known = match message {
            PeerMessage::SlotRequest(pool, workspace, waiting, grants_seen, age_ms) => {
                let demand = SlotDemand {
                    pool,
                    workspace,
                    waiting,
                    grants_seen,
                    age_ms,
                };
                self.scheduler.update_demand(from, demand, now)
            }
            PeerMessage::Grant(id, pool, workspace, endpoint) => {
                let grant = GrantOffer {
                    entry: self.local_box.key,
                    id,
                    pool,
                    workspace,
                    endpoint,
                };
                return self.entry.bind_grant(from, grant);
            }
            PeerMessage::Progress(id, cost) => {
                let report = settle_report(id, cost, None);
                self.scheduler.settle(from, report, now)
            }
            PeerMessage::Settle(id, cost) => {
                let report = settle_report(id, cost, Some(SlotOutcome::Answered));
                self.scheduler.settle(from, report, now)
            }
            PeerMessage::Refused(id) => {
                let report = settle_report(id, 0, Some(SlotOutcome::Full));
                self.scheduler.settle(from, report, now)
            }
            PeerMessage::Backoff(id, backoff_ms) => {
                let report = settle_report(id, 0, Some(SlotOutcome::Backoff(backoff_ms)));
                self.scheduler.settle(from, report, now)
            }
            PeerMessage::Lost(id, cost) => {
                let report = settle_report(id, cost, Some(SlotOutcome::Lost));
                self.scheduler.settle(from, report, now)
            }
            PeerMessage::Adopt(id, pool, workspace, endpoint, charged) => {
                let adopted = AdoptedGrant {
                    id,
                    pool,
                    workspace,
                    endpoint,
                    charged: charged as f64,
                };
                self.scheduler.adopt(from, adopted, now)
            }
            PeerMessage::Pause(id) => {
                self.pause(id);
                true
            }
            PeerMessage::FreeSlots(pool, free) => {
                self.entry.set_free_slots(from, pool, free);
                true
            }
            PeerMessage::Ledger(report) => {
                self.scheduler.merge(&report, now);
                true
            }
            PeerMessage::Leaving => {
                if let Some(link) = self.links.get_mut(from) {
                    link.member.leaving = true;
                }
                self.rebuild_topology();
                true
            }
        };
        if !is_known {
            METRICS.ignored.with_label_values(&[step]).inc();
            log_event(&LogEvent::Ignored {
                step,
                peer: self.links.name(from),
                reason: "it names something unknown here",
            });
        }
        Vec::new()
    }

    pub(super) fn receive_all(&mut self, from: BoxKey, messages: Vec<PeerMessage>) {
        let now = now_ms();
        let mut actions = Vec::new();
        for message in messages {
            actions.extend(self.receive(from, message, now));
        }
        self.process_actions(actions);
    }

    pub(super) fn free_slot_updates(&mut self, to: BoxKey) -> Vec<PeerMessage> {
        let free = self.scheduler.free_slots(now_ms());
        self.links.free_slot_updates(to, &free)
    }

    /// Returns how long a link may be closed before its box counts as dead, in milliseconds.
    pub(super) fn suspect_ms(&self) -> u64 {
        self.settings.schedule.suspect.as_millis() as u64
    }

    /// Returns the boxes that count as alive now, including this one.
    fn current_live_boxes(&self) -> Vec<LiveBox> {
        self.links.live_boxes(&self.local_box, self.suspect_ms())
    }

    /// Recomputes the endpoints of each scheduler after a change of the boxes or the configuration.
    pub(super) fn rebuild_topology(&mut self) {
        self.live_boxes = self.current_live_boxes();
        self.topology = FleetTopology::new(&self.config, &self.live_boxes);
        let owned_endpoints = self.topology.endpoints_of(self.local_box.key);
        let near_boxes = self
            .live_boxes
            .iter()
            .filter(|member| member.domain == self.local_box.domain);
        self.scheduler
            .set_local_entries(near_boxes.map(|member| member.key).collect());
        log_event(&LogEvent::Owned {
            endpoints: owned_endpoints.len(),
            boxes: self.live_boxes.len(),
        });
        METRICS.endpoints.set(owned_endpoints.len() as i64);
        self.scheduler.set_endpoints(&owned_endpoints, now_ms());
        self.scheduler
            .set_scheduler_counts(self.topology.scheduler_counts());
        self.entry
            .set_schedulers(self.topology.schedulers_by_distance(self.local_box.key));
        let topology = &self.topology;
        let reassigned = self.entry.reassign(|endpoint| topology.owner(endpoint));
        for (owner, adopted) in reassigned {
            match owner == self.local_box.key {
                true => drop(self.scheduler.adopt(owner, adopted, now_ms())),
                false => self.links.send(owner, adopted.into()),
            }
        }
        self.process_actions(Vec::new());
    }

    /// Rebuilds the topology if the set of live boxes has changed.
    pub(super) fn rebuild_if_liveness_changed(&mut self) {
        let live_boxes = self.current_live_boxes();
        if live_boxes == self.live_boxes {
            return;
        }
        // Requests of a dead box are aborted with it. An endpoint that is still busy refuses, which
        // costs a retry.
        let dead_boxes = self
            .live_boxes
            .iter()
            .filter(|previous| !live_boxes.iter().any(|current| current.key == previous.key));
        for key in dead_boxes.map(|dead| dead.key).collect::<Vec<_>>() {
            self.scheduler.forget_box(key);
        }
        self.rebuild_topology();
    }

    /// Sends the ledger rows of this scheduler to the others and its free slots to all entries.
    pub(super) fn send_reports(&mut self) {
        let report = self.scheduler.take_report();
        let free = self.scheduler.free_slots(now_ms());
        for key in self.links.keys() {
            if !report.rows.is_empty() {
                self.links.send(key, PeerMessage::Ledger(report.clone()));
            }
            for update in self.links.free_slot_updates(key, &free) {
                self.links.send(key, update);
            }
        }
        for (pool, free) in free {
            self.entry.set_free_slots(self.local_box.key, pool, free);
        }
    }

    pub(super) fn update_metrics(&self) {
        METRICS.waiting.set(self.entry.waiting() as i64);
        METRICS.running.set(self.entry.running_count() as i64);
        METRICS.overgrants.set(self.entry.overgranted() as i64);
        let expired = self.scheduler.expired_grants();
        METRICS.expired_grants.set(expired as i64);
        let overcommitted = self.scheduler.overcommitted_slots();
        METRICS.overcommitted.set(i64::from(overcommitted));
        let in_backoff = self.scheduler.backed_off_endpoints(now_ms());
        METRICS.endpoints_in_backoff.set(in_backoff as i64);
        METRICS.links.set(self.links.linked_count() as i64);
    }

    pub(super) fn log_grant(&self, grant: &GrantOffer) {
        METRICS.grants.inc();
        log_event(&LogEvent::Granted {
            grant: grant.id.to_string(),
            pool: grant.pool.0,
            workspace: grant.workspace.0,
            endpoint: grant.endpoint.0,
            entry: grant.entry.to_string(),
        });
    }

    pub(super) fn add_member(&mut self, member: MemberBox) {
        let Some(handle) = self.handle.clone() else {
            return;
        };
        let (sender, receiver) = LinkSender::new();
        let task = LinkTask::new(
            member.clone(),
            self.settings.clone(),
            self.incarnation,
            self.cell.clone(),
            handle,
        );
        tokio::spawn(task.run(receiver));
        self.links.insert(PeerLink::new(member, sender));
    }

    pub(super) fn remove_member(&mut self, key: BoxKey) {
        self.links.remove(key);
        self.entry.disconnect(key);
        self.scheduler.forget_box(key);
    }
}

fn grant_message(grant: &GrantOffer) -> PeerMessage {
    PeerMessage::Grant(grant.id, grant.pool, grant.workspace, grant.endpoint)
}

pub(super) const fn settle_report(
    id: GrantId,
    cost: u64,
    ended: Option<SlotOutcome>,
) -> SettleReport {
    SettleReport {
        id,
        cost: cost as f64,
        ended,
    }
}

impl Actor for DispatchActor {
    type Stop = ();

    async fn stopped(self) {}
}
