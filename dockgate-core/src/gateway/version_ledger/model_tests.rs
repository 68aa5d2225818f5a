//! Simulation of boxes that keep the ledger of one service in a store that fails, loses the ledger
//! and is restored from older copies.

use super::*;
use crate::gateway::era_tracker::{EraChange, EraTracker};
use proptest::prelude::*;

const MODEL: u64 = 7;
const VERSIONS: usize = 3;
const BOXES: usize = 6;
/// The boxes that follow the store.
const FOLLOWERS: usize = 2;
const TICK_MS: u64 = 100;
/// For how long a stream can be taken up after it began, in milliseconds.
const STREAM_MS: u64 = 12_000;
/// The age of the last news at which a box is not in contact any more, in milliseconds.
const PROOF_VALID_MS: u64 = 2_000;
const RETRY_MS: u64 = 400;
/// The time after the last fault within which the ledger becomes stable, in milliseconds: a version
/// that has left counts as seen once more if a box reads it after it was dropped and listed again.
const CALM_MS: u64 = 2 * VersionHistory::RETENTION_MS + 20_000;
/// The last part of it, in which the store is not accessed.
const IDLE_MS: u64 = 10_000;
/// The calls of a box within the calm.
const MAX_CALLS: u32 = 60;

fn version(at: usize) -> ServiceVersion {
    ServiceVersion {
        service: MODEL,
        version: SoftwareVersion(at as u64 + 1),
    }
}

/// The endpoints of a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EndpointStage {
    Absent,
    Ready,
    Draining,
}

type EndpointStages = [EndpointStage; VERSIONS];

fn versions_in(
    stages: &EndpointStages,
    accepts: impl Fn(EndpointStage) -> bool,
) -> BTreeSet<ServiceVersion> {
    let listed = stages.iter().enumerate();
    let accepted = listed.filter(|(_, stage)| accepts(**stage));
    accepted.map(|(at, _)| version(at)).collect()
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum StoredItem {
    Absent,
    Unreadable,
    Ledger(VersionLedger),
}

#[derive(Debug, Clone)]
struct ModelStore {
    era: u64,
    /// The revision of the last write.
    head: u64,
    item: StoredItem,
    item_revision: u64,
}

impl ModelStore {
    fn set(&mut self, item: StoredItem) {
        self.head += 1;
        self.item = item;
        self.item_revision = self.head;
    }

    /// Returns the revision that a write of the ledger is conditional on; `None` if it is absent.
    fn condition(&self) -> Option<u64> {
        (self.item != StoredItem::Absent).then_some(self.item_revision)
    }

    fn put(&mut self, write: &ModelWrite) -> bool {
        let is_unchanged = self.condition() == write.condition;
        if is_unchanged {
            self.set(StoredItem::Ledger(write.ledger.clone()));
        }
        is_unchanged
    }
}

#[derive(Debug, Clone)]
struct ModelWrite {
    condition: Option<u64>,
    ledger: VersionLedger,
    due_ms: u64,
}

/// What becomes of writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteFault {
    None,
    Refused,
    /// Applied, and the answer is lost.
    Unanswered,
    /// Applied after this time, and the answer is lost.
    Late(u64),
}

#[derive(Debug, Clone, Default)]
struct ModelBox {
    keeper: LedgerKeeper,
    history: VersionHistory,
    eras: EraTracker,
    ready: BTreeSet<ServiceVersion>,
    present: BTreeSet<ServiceVersion>,
    started_ms: u64,
    /// The time of the news that it has.
    news_ms: Option<u64>,
    lag_ms: u64,
    frozen_until_ms: u64,
    no_news_until_ms: u64,
    no_store_until_ms: u64,
    retry_ms: u64,
    /// A write that it sends after it has read the ledger.
    write: Option<ModelWrite>,
    is_first_start: bool,
    calls: u32,
}

impl ModelBox {
    /// Returns the time of its own clock, which starts with the box.
    const fn clock(&self, now_ms: u64) -> u64 {
        now_ms - self.started_ms
    }

    fn context(&self, now_ms: u64) -> LedgerContext<'_> {
        LedgerContext {
            history: &self.history,
            ready: &self.ready,
            era: self.eras.current(),
            now_ms: self.clock(now_ms),
        }
    }

    fn observe(&mut self, now_ms: u64) {
        let news_ms = self.news_ms;
        let is_in_contact = news_ms.is_some_and(|news_ms| news_ms + PROOF_VALID_MS >= now_ms);
        let clock_ms = self.clock(now_ms);
        let present = self.present.iter().copied();
        self.history.observe(present, is_in_contact, clock_ms);
        self.keeper.update(&self.history);
    }

    /// Reads the ledger; returns whether the answer was of the current era.
    fn read(&mut self, store: &ModelStore, now_ms: u64) -> bool {
        if self.eras.note(Some(store.era)) == EraChange::Outdated {
            return false;
        }
        let stored = match &store.item {
            StoredItem::Ledger(ledger) => Some(ledger.clone()),
            StoredItem::Absent | StoredItem::Unreadable => None,
        };
        let is_first_start = self.is_first_start && store.item == StoredItem::Absent;
        let revision = StoreRevision::new(store.era, store.head);
        let clock_ms = self.clock(now_ms);
        let Self {
            keeper, history, ..
        } = self;
        keeper.merge(stored, revision, history, is_first_start, clock_ms);
        keeper.update(history);
        true
    }

    /// Returns the only version at which streams of the last seconds can have begun, if it reads
    /// the ledger now.
    fn only_version(&self, store: &ModelStore, now_ms: u64) -> Option<SoftwareVersion> {
        let mut reader = self.clone();
        if !reader.read(store, now_ms) {
            return None;
        }
        reader.keeper.only_version(MODEL, STREAM_MS)
    }

    fn is_awake(&self, now_ms: u64) -> bool {
        self.frozen_until_ms <= now_ms
    }

    fn reaches_store(&self, now_ms: u64) -> bool {
        self.is_awake(now_ms) && self.no_store_until_ms <= now_ms
    }
}

#[derive(Debug, Clone, Copy)]
enum ModelStep {
    Set(usize, EndpointStage),
    Freeze(usize, u64),
    /// The box hears nothing of endpoints.
    CutNews(usize, u64),
    CutStore(usize, u64),
    Restart(usize),
    RestartAll,
    TakeUp(usize),
    FailWrites(WriteFault),
    /// The time between a read of the ledger and the write that follows.
    DelayWrites(u64),
    Remove,
    Garble,
    Copy,
    Restore(usize),
    Wait(u64),
    WaitLong(u64),
}

fn step() -> impl Strategy<Value = ModelStep> {
    let stage = prop_oneof![
        3 => Just(EndpointStage::Ready),
        1 => Just(EndpointStage::Draining),
        2 => Just(EndpointStage::Absent),
    ];
    let fault = prop_oneof![
        3 => Just(WriteFault::None),
        1 => Just(WriteFault::Refused),
        1 => Just(WriteFault::Unanswered),
        1 => (1..30_u64).prop_map(|ticks| WriteFault::Late(ticks * TICK_MS)),
    ];
    prop_oneof![
        8 => (0..VERSIONS, stage).prop_map(|(at, stage)| ModelStep::Set(at, stage)),
        2 => (0..BOXES, 1..50_u64).prop_map(|(at, ticks)| ModelStep::Freeze(at, ticks * TICK_MS)),
        2 => (0..BOXES, 1..200_u64).prop_map(|(at, ticks)| ModelStep::CutNews(at, ticks * TICK_MS)),
        2 => (0..BOXES, 1..200_u64).prop_map(|(at, ticks)| ModelStep::CutStore(at, ticks * TICK_MS)),
        2 => (0..BOXES).prop_map(ModelStep::Restart),
        1 => Just(ModelStep::RestartAll),
        3 => (0..BOXES).prop_map(ModelStep::TakeUp),
        3 => fault.prop_map(ModelStep::FailWrites),
        1 => (0..5_u64).prop_map(|ticks| ModelStep::DelayWrites(ticks * TICK_MS)),
        2 => Just(ModelStep::Remove),
        1 => Just(ModelStep::Garble),
        2 => Just(ModelStep::Copy),
        2 => (0..3_usize).prop_map(ModelStep::Restore),
        12 => (1..30_u64).prop_map(|ticks| ModelStep::Wait(ticks * TICK_MS)),
        3 => (30..400_u64).prop_map(|ticks| ModelStep::WaitLong(ticks * TICK_MS)),
    ]
}

struct LedgerModel {
    boxes: Vec<ModelBox>,
    stages: EndpointStages,
    /// The endpoints at earlier ticks.
    past: Vec<EndpointStages>,
    store: ModelStore,
    copies: Vec<ModelStore>,
    fault: WriteFault,
    write_delay_ms: u64,
    late: Vec<ModelWrite>,
    /// When a stream last began at a version.
    begun_ms: BTreeMap<ServiceVersion, u64>,
    now_ms: u64,
    writes: u32,
    check_interval_ms: u64,
}

impl LedgerModel {
    fn new(lags: &[u64], is_first_start: bool) -> Self {
        let mut stages = [EndpointStage::Absent; VERSIONS];
        stages[0] = EndpointStage::Ready;
        let store = ModelStore {
            era: 1,
            head: 5,
            item: StoredItem::Absent,
            item_revision: 0,
        };
        let boxes = lags.iter().map(|lag_ms| ModelBox {
            lag_ms: *lag_ms,
            is_first_start,
            ..ModelBox::default()
        });
        Self {
            boxes: boxes.collect(),
            stages,
            past: Vec::new(),
            copies: vec![store.clone()],
            store,
            fault: WriteFault::None,
            write_delay_ms: 0,
            late: Vec::new(),
            begun_ms: BTreeMap::new(),
            now_ms: 0,
            writes: 0,
            check_interval_ms: TICK_MS,
        }
    }

    fn restart(&mut self, at: usize) {
        self.boxes[at] = ModelBox {
            started_ms: self.now_ms,
            lag_ms: self.boxes[at].lag_ms,
            no_store_until_ms: self.boxes[at].no_store_until_ms,
            no_news_until_ms: self.boxes[at].no_news_until_ms,
            ..ModelBox::default()
        };
    }

    fn apply(&mut self, step: ModelStep) -> Result<(), TestCaseError> {
        let (now_ms, count) = (self.now_ms, self.boxes.len());
        match step {
            ModelStep::Set(at, stage) => self.stages[at] = stage,
            ModelStep::Freeze(at, away_ms) => {
                self.boxes[at % count].frozen_until_ms = now_ms + away_ms;
            }
            ModelStep::CutNews(at, away_ms) => {
                self.boxes[at % count].no_news_until_ms = now_ms + away_ms;
            }
            ModelStep::CutStore(at, away_ms) => {
                self.boxes[at % count].no_store_until_ms = now_ms + away_ms;
            }
            ModelStep::Restart(at) => self.restart(at % count),
            ModelStep::RestartAll => (0..count).for_each(|at| self.restart(at)),
            ModelStep::TakeUp(at) => {
                let reader = &mut self.boxes[at % count];
                if reader.reaches_store(now_ms) {
                    reader.read(&self.store, now_ms);
                }
            }
            ModelStep::FailWrites(fault) => self.fault = fault,
            ModelStep::DelayWrites(delay_ms) => self.write_delay_ms = delay_ms,
            ModelStep::Remove => self.store.set(StoredItem::Absent),
            ModelStep::Garble => self.store.set(StoredItem::Unreadable),
            ModelStep::Copy => self.copies.push(self.store.clone()),
            ModelStep::Restore(back) => {
                let copy = &self.copies[self.copies.len().saturating_sub(back + 1)];
                self.store = ModelStore {
                    era: self.store.era + 1,
                    ..copy.clone()
                };
            }
            ModelStep::Wait(for_ms) | ModelStep::WaitLong(for_ms) => self.run(for_ms)?,
        }
        Ok(())
    }

    fn run(&mut self, for_ms: u64) -> Result<(), TestCaseError> {
        for _ in 0..for_ms / TICK_MS {
            self.tick()?;
        }
        Ok(())
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        self.past.push(self.stages);
        self.now_ms += TICK_MS;
        let now_ms = self.now_ms;
        let due = |write: &mut ModelWrite| write.due_ms <= now_ms;
        let due: Vec<ModelWrite> = self.late.extract_if(.., due).collect();
        for write in due {
            self.store.put(&write);
        }
        for at in 0..self.boxes.len() {
            self.hear(at);
        }
        // Requests may be served before the box has updated anything else.
        self.check_streams()?;
        self.begin_streams();
        for at in 0..self.boxes.len() {
            if self.boxes[at].is_awake(now_ms) {
                self.boxes[at].observe(now_ms);
                self.keep_ledger(at);
            }
        }
        self.check_streams()?;
        self.begin_streams();
        Ok(())
    }

    /// Lets a box hear of the endpoints and of the store's era.
    fn hear(&mut self, at: usize) {
        let (now_ms, listener) = (self.now_ms, &mut self.boxes[at]);
        let is_cut = listener.no_news_until_ms > now_ms;
        let is_behind = listener.frozen_until_ms + listener.lag_ms > now_ms;
        let is_follower_cut = at < FOLLOWERS && listener.no_store_until_ms > now_ms;
        let news_ms = now_ms.saturating_sub(TICK_MS + listener.lag_ms);
        if is_cut || is_behind || is_follower_cut {
            return;
        }
        let stages = &self.past[(news_ms / TICK_MS) as usize];
        listener.ready = versions_in(stages, |stage| stage == EndpointStage::Ready);
        listener.present = versions_in(stages, |stage| stage != EndpointStage::Absent);
        listener.news_ms = Some(news_ms);
        listener.eras.note(Some(self.store.era));
        listener.observe(now_ms);
    }

    fn keep_ledger(&mut self, at: usize) {
        let (now_ms, store) = (self.now_ms, &mut self.store);
        let keeper = &mut self.boxes[at];
        let duty = match at < FOLLOWERS {
            true => LedgerDuty::Maintain,
            false => LedgerDuty::Consult,
        };
        if keeper.write.is_none() {
            let is_due = keeper.keeper.is_due(keeper.context(now_ms), duty);
            if !is_due || keeper.retry_ms > now_ms {
                return;
            }
            keeper.calls += 1;
            if !keeper.reaches_store(now_ms) || !keeper.read(store, now_ms) {
                keeper.retry_ms = now_ms + RETRY_MS;
                return;
            }
            let next = keeper.keeper.propose(keeper.context(now_ms), duty);
            keeper.write = next.map(|ledger| ModelWrite {
                condition: store.condition(),
                ledger,
                due_ms: now_ms + self.write_delay_ms,
            });
        }
        let Some(mut write) = keeper.write.take_if(|write| write.due_ms <= now_ms) else {
            return;
        };
        keeper.calls += 1;
        let fault = match keeper.reaches_store(now_ms) {
            true => self.fault,
            false => WriteFault::Refused,
        };
        let is_done = match fault {
            WriteFault::None => store.put(&write),
            WriteFault::Unanswered => {
                store.put(&write);
                false
            }
            WriteFault::Refused => false,
            WriteFault::Late(delay_ms) => {
                write.due_ms = now_ms + delay_ms;
                self.late.push(write.clone());
                false
            }
        };
        match is_done {
            true => {
                let revision = StoreRevision::new(write.ledger.era, store.head);
                let clock_ms = keeper.clock(now_ms);
                keeper.keeper.record_write(write.ledger, revision, clock_ms);
                keeper.keeper.update(&keeper.history);
                self.writes += 1;
            }
            false => keeper.retry_ms = now_ms + RETRY_MS,
        }
    }

    /// Begins a stream at every box and at every version where that is allowed.
    ///
    /// Streams at a version that the box's copy of the ledger does not list as admitted are left
    /// out. They begin if no admitted version is ready at the box, or before it has read a ledger:
    /// until the ledger lists the version, only the record of the stream shows where it began.
    fn begin_streams(&mut self) {
        let now_ms = self.now_ms;
        let serving = versions_in(&self.stages, |stage| stage == EndpointStage::Ready);
        let awake = self.boxes.iter().filter(|entry| entry.is_awake(now_ms));
        for entry in awake.filter(|entry| entry.keeper.ledger().is_some()) {
            let ready = entry.ready.intersection(&serving);
            let is_admitted = |ledger: &VersionLedger, version| ledger.is_admitted(version);
            let ledger = entry.keeper.ledger().expect("it was read");
            let begun = ready.filter(|version| !entry.keeper.is_unadmitted(**version));
            for version in begun.filter(|version| is_admitted(ledger, **version)) {
                self.begun_ms.insert(*version, now_ms);
            }
        }
    }

    /// Checks that no box takes another version than that of each stream for the only one.
    fn check_streams(&self) -> Result<(), TestCaseError> {
        let now_ms = self.now_ms;
        if !now_ms.is_multiple_of(self.check_interval_ms) {
            return Ok(());
        }
        for (at, reader) in self.boxes.iter().enumerate() {
            if !reader.reaches_store(now_ms) {
                continue;
            }
            let Some(only) = reader.only_version(&self.store, now_ms) else {
                continue;
            };
            for (begun, begun_ms) in &self.begun_ms {
                prop_assert!(
                    begun.version == only || begun_ms + STREAM_MS < now_ms,
                    "box {at} takes {only:?} for the only version at {now_ms} ms; a stream began \
                     at {begun:?} at {begun_ms} ms; stored: {:?}",
                    self.store
                );
            }
        }
        Ok(())
    }

    /// Ends all faults.
    fn calm(&mut self) {
        self.fault = WriteFault::None;
        self.write_delay_ms = 0;
        self.check_interval_ms = 10 * TICK_MS;
        for entry in &mut self.boxes {
            entry.frozen_until_ms = 0;
            entry.no_news_until_ms = 0;
            entry.no_store_until_ms = 0;
            entry.calls = 0;
        }
        if self
            .stages
            .iter()
            .all(|stage| *stage != EndpointStage::Ready)
        {
            self.stages[0] = EndpointStage::Ready;
        }
    }

    fn check_calm(&mut self) -> Result<(), TestCaseError> {
        self.calm();
        self.run(TICK_MS * 10)?;
        // A ledger that another writer has removed is missed when it is read.
        for at in 0..self.boxes.len() {
            self.apply(ModelStep::TakeUp(at))?;
        }
        self.run(CALM_MS - IDLE_MS)?;
        let calls = |model: &Self| model.boxes.iter().map(|entry| entry.calls).sum::<u32>();
        let (writes, before) = (self.writes, calls(self));
        self.run(IDLE_MS)?;
        prop_assert_eq!(
            (self.writes, calls(self)),
            (writes, before),
            "accesses in calm"
        );
        let most = self.boxes.iter().map(|entry| entry.calls).max();
        prop_assert!(most <= Some(MAX_CALLS), "a box made {:?} calls", most);
        let StoredItem::Ledger(ledger) = &self.store.item else {
            return Err(TestCaseError::fail("there is no ledger"));
        };
        let present = versions_in(&self.stages, |stage| stage != EndpointStage::Absent);
        let ready = versions_in(&self.stages, |stage| stage == EndpointStage::Ready);
        prop_assert_eq!(ledger.complete_ms, VersionHistory::RETENTION_MS);
        prop_assert_eq!(
            ledger.versions.keys().copied().collect::<BTreeSet<_>>(),
            present
        );
        for entry in &self.boxes {
            let mut unadmitted = ready.iter();
            prop_assert!(unadmitted.all(|version| !entry.keeper.is_unadmitted(*version)));
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 32, ..ProptestConfig::default() })]

    /// Guards against streams that go on at another version than that of their begin, and against
    /// ledgers that keep versions which have left or are written again and again.
    #[test]
    fn only_version_of_a_ledger_is_that_of_every_stream(
        lags in prop::collection::vec((0..6_u64).prop_map(|ticks| ticks * TICK_MS), 3..=BOXES),
        is_first_start in any::<bool>(),
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut model = LedgerModel::new(&lags, is_first_start);
        model.run(2_000)?;
        model.boxes.iter_mut().for_each(|entry| entry.is_first_start = false);
        for step in steps {
            model.apply(step)?;
        }
        model.check_calm()?;
    }
}
