//! The control actor itself.

use super::handle::{BindReply, BoundSlot, DispatchHandle};
use super::links::{PeerLink, PeerLinks};
use crate::clock::now_ms;
use crate::config_keeper::ConfigCell;
use crate::link::{LinkSender, LinkTask};
use crate::logging::{LogEvent, log_event};
use crate::members::MemberBox;
use crate::metrics::METRICS;
use crate::settings::DaemonSettings;
use dockgate_core::{
    AdoptedGrant, BoxKey, EntryAction, EntryState, FleetConfig, FleetTopology, GrantId, GrantOffer,
    Incarnation, LiveBox, ScheduleRule, SeekDemand, SeekRule, SettleReport, SlotScheduler,
    SlotSign,
};
use dockgate_proto::PeerMessage;
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use tokio::sync::oneshot;
use xtra::Actor;

/// Holds the state of the entry and the scheduler of one box.
pub(crate) struct DispatchActor {
    pub(super) settings: Arc<DaemonSettings>,
    pub(super) me: LiveBox,
    pub(super) incarnation: Incarnation,
    pub(super) cell: ConfigCell,
    pub(super) config: Arc<FleetConfig>,
    pub(super) topology: FleetTopology,
    pub(super) entry: EntryState,
    pub(super) scheduler: SlotScheduler,
    pub(super) waiting: HashMap<u64, oneshot::Sender<BindReply>>,
    /// By grant, how to tell a running request that its slot is wanted.
    pub(super) pauses: HashMap<GrantId, oneshot::Sender<()>>,
    pub(super) links: PeerLinks,
    pub(super) handle: Option<DispatchHandle>,
    pub(super) live: Vec<LiveBox>,
    pub(super) has_ledger: bool,
    pub(super) report_due_ms: u64,
    /// The peer whose batch is being handled, and what it is answered.
    pub(super) answering: Option<(BoxKey, Vec<PeerMessage>)>,
}

impl DispatchActor {
    /// Makes the actor of a box with no memory.
    pub(crate) fn new(
        settings: Arc<DaemonSettings>,
        incarnation: Incarnation,
        cell: ConfigCell,
    ) -> Self {
        let me = LiveBox {
            key: BoxKey::from_name(&settings.name),
            domain: settings.domain.clone(),
            may_schedule: true,
        };
        let schedule = &settings.schedule;
        let rule = ScheduleRule {
            mode: schedule.mode,
            order: schedule.order,
            pause: schedule.pause,
            locality_ms: schedule.locality.as_millis() as u64,
            grant_ttl_ms: schedule.grant_ttl.as_millis() as u64,
            adopt_ms: schedule.adopt.as_millis() as u64,
        };
        let seek = SeekRule {
            widen_ms: schedule.widen.as_millis() as u64,
            width: schedule.width,
        };
        let mut entry = EntryState::new(seek);
        entry.connect(me.key);
        Self {
            scheduler: SlotScheduler::new(me.key, incarnation, rule),
            settings,
            live: vec![me.clone()],
            me,
            incarnation,
            cell,
            config: Arc::default(),
            topology: FleetTopology::default(),
            entry,
            waiting: HashMap::new(),
            pauses: HashMap::new(),
            links: PeerLinks::default(),
            handle: None,
            has_ledger: false,
            report_due_ms: 0,
            answering: None,
        }
    }

    /// Starts the actor.
    pub(crate) fn spawn(self) -> DispatchHandle {
        let address = xtra::spawn_tokio(self, xtra::Mailbox::unbounded());
        DispatchHandle::new(address)
    }

    /// Carries out the entry's actions and gives out free slots until nothing is left to do.
    pub(super) fn pump(&mut self, actions: Vec<EntryAction>) {
        let now = now_ms();
        let mut actions = VecDeque::from(actions);
        loop {
            while let Some(action) = actions.pop_front() {
                self.act(action, now);
            }
            for grant in self.scheduler.schedule(now) {
                self.log_grant(&grant);
                match grant.entry == self.me.key {
                    true => actions.extend(self.entry.offer(self.me.key, grant)),
                    false => self.send(grant.entry, grant_message(&grant)),
                }
            }
            if actions.is_empty() {
                break;
            }
        }
    }

    pub(super) fn act(&mut self, action: EntryAction, now: u64) {
        match action {
            EntryAction::Seek(seek) => {
                let age = self.entry.age_ms(seek.pool, seek.workspace, now);
                let demand = SeekDemand {
                    pool: seek.pool,
                    workspace: seek.workspace,
                    waiting: seek.waiting,
                    seen: seek.seen,
                    age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                };
                self.seek(seek.to, demand, now);
            }
            EntryAction::Bind(id, grant) => self.bind(id, grant),
            EntryAction::Return(to, id) => {
                self.settle(to, id, 0.0, Some(SlotSign::Answered), now);
            }
            EntryAction::Expire(id) => {
                if let Some(reply) = self.waiting.remove(&id) {
                    let _ = reply.send(BindReply::Expired);
                }
            }
        }
    }

    pub(super) fn seek(&mut self, to: BoxKey, demand: SeekDemand, now: u64) {
        if to == self.me.key {
            self.scheduler.seek(to, demand, now);
            return;
        }
        let message = PeerMessage::SlotRequest(
            demand.pool,
            demand.workspace,
            demand.waiting,
            demand.seen,
            demand.age_ms,
        );
        self.send(to, message);
    }

    /// Hands a grant to the request that waits; a request that has gone gives it back.
    pub(super) fn bind(&mut self, id: u64, grant: GrantOffer) {
        let (wanted, pause) = oneshot::channel();
        self.pauses.insert(grant.id, wanted);
        let reply = self.waiting.remove(&id);
        let slot = BoundSlot { grant, pause };
        let sent = reply.map(|reply| reply.send(BindReply::Bound(slot)));
        if !matches!(sent, Some(Ok(()))) {
            self.finish(grant.id, 0.0, SlotSign::Answered);
        }
    }

    pub(super) fn settle(
        &mut self,
        to: BoxKey,
        id: GrantId,
        cost: f64,
        ended: Option<SlotSign>,
        now: u64,
    ) {
        if to == self.me.key {
            let report = SettleReport { id, cost, ended };
            self.scheduler.settle(to, report, now);
            return;
        }
        let cost = cost as u64;
        let message = match ended {
            None => PeerMessage::Progress(id, cost),
            Some(SlotSign::Answered) => PeerMessage::Settle(id, cost),
            Some(SlotSign::Full) => PeerMessage::Refused(id),
            Some(SlotSign::Resting(rest_ms)) => PeerMessage::Backoff(id, rest_ms),
            Some(SlotSign::Lost) => PeerMessage::Lost(id, cost),
        };
        self.send(to, message);
    }

    pub(super) fn finish(&mut self, id: GrantId, cost: f64, sign: SlotSign) {
        self.pauses.remove(&id);
        if let Some(scheduler) = self.entry.finish(id) {
            self.settle(scheduler, id, cost, Some(sign), now_ms());
        }
    }

    /// Tells a running request that its slot is wanted; one that cannot be paused goes on.
    pub(super) fn pause(&mut self, id: GrantId) {
        if let Some(wanted) = self.pauses.remove(&id) {
            let _ = wanted.send(());
        }
    }

    /// Asks the entries of streams that run too far ahead to pause them.
    pub(super) fn ask_for_pauses(&mut self, now: u64) {
        for (entry, id) in self.scheduler.pauses(now) {
            log_event(&LogEvent::PauseAsked {
                grant: id.to_string(),
                entry: entry.to_string(),
            });
            match entry == self.me.key {
                true => self.pause(id),
                false => self.send(entry, PeerMessage::Pause(id)),
            }
        }
    }

    /// Sends to a peer: in the answer to its batch if one is being handled, else by the link.
    pub(super) fn send(&mut self, to: BoxKey, message: PeerMessage) {
        match &mut self.answering {
            Some((peer, answer)) if *peer == to => answer.push(message),
            _ => self.links.send(to, message),
        }
    }

    /// Takes one message of a peer in; the entry's reactions are returned.
    pub(super) fn receive(
        &mut self,
        from: BoxKey,
        message: PeerMessage,
        now: u64,
    ) -> Vec<EntryAction> {
        let step = message.step();
        let known = match message {
            PeerMessage::SlotRequest(pool, workspace, waiting, seen, age_ms) => {
                let demand = SeekDemand {
                    pool,
                    workspace,
                    waiting,
                    seen,
                    age_ms,
                };
                self.scheduler.seek(from, demand, now)
            }
            PeerMessage::Grant(id, pool, workspace, endpoint) => {
                let grant = GrantOffer {
                    entry: self.me.key,
                    id,
                    pool,
                    workspace,
                    endpoint,
                };
                return self.entry.offer(from, grant);
            }
            PeerMessage::Progress(id, cost) => {
                let report = settle_report(id, cost, None);
                self.scheduler.settle(from, report, now)
            }
            PeerMessage::Settle(id, cost) => {
                let report = settle_report(id, cost, Some(SlotSign::Answered));
                self.scheduler.settle(from, report, now)
            }
            PeerMessage::Refused(id) => {
                let report = settle_report(id, 0, Some(SlotSign::Full));
                self.scheduler.settle(from, report, now)
            }
            PeerMessage::Backoff(id, rest_ms) => {
                let report = settle_report(id, 0, Some(SlotSign::Resting(rest_ms)));
                self.scheduler.settle(from, report, now)
            }
            PeerMessage::Lost(id, cost) => {
                let report = settle_report(id, cost, Some(SlotSign::Lost));
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
                self.entry.note_free(from, pool, free);
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
                self.rebuild();
                true
            }
        };
        if !known {
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
        self.pump(actions);
    }

    pub(super) fn free_messages(&mut self, to: BoxKey) -> Vec<PeerMessage> {
        let free = self.scheduler.free_slots(now_ms());
        self.links.free_news(to, &free)
    }

    /// Returns how long a link may be closed before its box is passed over, in milliseconds.
    pub(super) fn suspect_ms(&self) -> u64 {
        self.settings.schedule.suspect.as_millis() as u64
    }

    /// Lists the boxes that count as alive now, this one included.
    fn live_now(&self) -> Vec<LiveBox> {
        self.links.live_boxes(&self.me, self.suspect_ms())
    }

    /// Works out anew who schedules what, after the boxes or the configuration changed.
    pub(super) fn rebuild(&mut self) {
        self.live = self.live_now();
        self.topology = FleetTopology::new(&self.config, &self.live);
        let mine = self.topology.endpoints_of(self.me.key);
        let near = self
            .live
            .iter()
            .filter(|live| live.domain == self.me.domain);
        self.scheduler.set_near(near.map(|live| live.key).collect());
        log_event(&LogEvent::Owned {
            endpoints: mine.len(),
            boxes: self.live.len(),
        });
        METRICS.endpoints.set(mine.len() as i64);
        self.scheduler.set_endpoints(&mine, now_ms());
        self.scheduler
            .set_schedulers(self.topology.scheduler_counts());
        self.entry
            .set_schedulers(self.topology.schedulers_by_distance(self.me.key));
        let topology = &self.topology;
        let moved = self.entry.reassign(|endpoint| topology.owner(endpoint));
        for (owner, adopted) in moved {
            match owner == self.me.key {
                true => drop(self.scheduler.adopt(owner, adopted, now_ms())),
                false => self.links.send(owner, adopted.into()),
            }
        }
        self.pump(Vec::new());
    }

    /// Rebuilds if a box has become suspect, or is no more.
    pub(super) fn rebuild_if_suspects_changed(&mut self) {
        let live = self.live_now();
        if live == self.live {
            return;
        }
        // What a box ran that cannot be reached for long was cut off with it, or soon will be; a
        // endpoint that is still busy refuses, which costs a retry and no promise.
        let lost = self
            .live
            .iter()
            .filter(|known| !live.iter().any(|seen| seen.key == known.key));
        for key in lost.map(|known| known.key).collect::<Vec<_>>() {
            self.scheduler.forget_box(key);
        }
        self.rebuild();
    }

    /// Tells every other scheduler what was given here, and every entry what is free.
    pub(super) fn report(&mut self) {
        let report = self.scheduler.take_report();
        let free = self.scheduler.free_slots(now_ms());
        for key in self.links.keys() {
            if !report.rows.is_empty() {
                self.links.send(key, PeerMessage::Ledger(report.clone()));
            }
            for news in self.links.free_news(key, &free) {
                self.links.send(key, news);
            }
        }
        for (pool, free) in free {
            self.entry.note_free(self.me.key, pool, free);
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
        let resting = self.scheduler.resting_endpoints(now_ms());
        METRICS.resting.set(resting as i64);
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

pub(super) const fn settle_report(id: GrantId, cost: u64, ended: Option<SlotSign>) -> SettleReport {
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
