use super::*;
use proptest::prelude::*;

const LIFE_MS: u32 = 8_000;

fn record(workspace: u64, number: usize, life_ms: u32) -> StreamRecord {
    StreamRecord {
        key: StreamKey::new(&workspace.to_string(), "model", &number.to_string()),
        workspace,
        version: SoftwareVersion(1 + number as u64 % 3),
        life_ms,
    }
}

/// A key of the model store.
#[derive(Debug, Clone)]
struct ModelItem {
    revision: u64,
    lease: u64,
    streams: BTreeMap<StreamKey, SoftwareVersion>,
}

/// A store with leases, conditional writes and eras.
#[derive(Debug, Clone)]
struct ModelStore {
    era: u64,
    revision: u64,
    last_lease: u64,
    /// When each lease ends.
    leases: BTreeMap<u64, u64>,
    items: BTreeMap<u32, ModelItem>,
}

impl ModelStore {
    fn new() -> Self {
        Self {
            era: 1,
            revision: 0,
            last_lease: 0,
            leases: BTreeMap::new(),
            items: BTreeMap::new(),
        }
    }

    fn expire(&mut self, now_ms: u64) {
        self.leases.retain(|_, until_ms| *until_ms > now_ms);
        let leases = &self.leases;
        self.items
            .retain(|_, item| leases.contains_key(&item.lease));
    }

    fn acquire(&mut self, now_ms: u64) -> u64 {
        self.last_lease += 1;
        self.leases
            .insert(self.last_lease, now_ms + StreamLog::LEASE_MS);
        self.last_lease
    }

    fn renew(&mut self, id: u64, now_ms: u64) -> bool {
        self.expire(now_ms);
        let lease = self.leases.get_mut(&id);
        let renewed = lease.map(|until_ms| *until_ms = now_ms + StreamLog::LEASE_MS);
        renewed.is_some()
    }

    fn write(&mut self, batch: &LogBatch, now_ms: u64) -> LogOutcome {
        self.expire(now_ms);
        let existing = batch.segments.iter().filter_map(|written| {
            let item = self.items.get(&written.number)?;
            Some(SegmentRevision {
                number: written.number,
                revision: item.revision,
            })
        });
        let existing: Vec<SegmentRevision> = existing.collect();
        let is_expected = batch.segments.iter().all(|written| {
            let found = existing.iter().find(|found| found.number == written.number);
            found.map_or(0, |found| found.revision) == written.revision
        });
        if !is_expected {
            return LogOutcome::Conflict(existing);
        }
        if !batch.segments.is_empty() && !self.leases.contains_key(&batch.lease) {
            return LogOutcome::NoLease;
        }
        self.revision += 1;
        for written in &batch.segments {
            let streams = written.streams.iter();
            let item = ModelItem {
                revision: self.revision,
                lease: batch.lease,
                streams: streams.map(|stream| (stream.key, stream.version)).collect(),
            };
            self.items.insert(written.number, item);
        }
        for number in &batch.removed {
            self.items.remove(number);
        }
        LogOutcome::Done {
            revision: self.revision,
        }
    }

    fn version(&self, key: StreamKey) -> Option<SoftwareVersion> {
        let items = self.items.values();
        items
            .filter_map(|item| item.streams.get(&key).copied())
            .next()
    }
}

/// What becomes of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallFate {
    Answered,
    /// It is not executed and the box knows.
    Refused,
    /// It is executed, but its answer is lost.
    AnswerLost,
    /// Its answer is lost, and it is executed later.
    Late,
}

#[derive(Debug, Clone)]
enum LogEvent {
    Append { workspace: u64, count: usize },
    Repeat { life_ms: u32 },
    Step(CallFate),
    Wait(u64),
    ExecuteLate,
    EndLeases,
    TakeSnapshot,
    RestoreSnapshot,
    Recover,
}

fn any_event() -> impl Strategy<Value = LogEvent> {
    let fate = prop_oneof![
        6 => Just(CallFate::Answered),
        1 => Just(CallFate::Refused),
        1 => Just(CallFate::AnswerLost),
        1 => Just(CallFate::Late),
    ];
    prop_oneof![
        4 => (0_u64..3, 1_usize..60)
            .prop_map(|(workspace, count)| LogEvent::Append { workspace, count }),
        1 => (1_000_u32..20_000).prop_map(|life_ms| LogEvent::Repeat { life_ms }),
        12 => fate.prop_map(LogEvent::Step),
        6 => prop_oneof![1_u64..400, Just(3_000), Just(70_000)].prop_map(LogEvent::Wait),
        1 => Just(LogEvent::ExecuteLate),
        1 => Just(LogEvent::EndLeases),
        1 => Just(LogEvent::TakeSnapshot),
        1 => Just(LogEvent::RestoreSnapshot),
        1 => Just(LogEvent::Recover),
    ]
}

/// A writer and its store.
struct LogSimulation {
    log: StreamLog,
    store: ModelStore,
    snapshot: ModelStore,
    late: Vec<LogBatch>,
    now_ms: u64,
    appended: usize,
    /// When each stream expires.
    until_ms: BTreeMap<StreamKey, (SoftwareVersion, u64)>,
    last_record: Option<StreamRecord>,
    written_ms: Option<u64>,
}

impl LogSimulation {
    fn new() -> Self {
        Self {
            log: StreamLog::default(),
            store: ModelStore::new(),
            snapshot: ModelStore::new(),
            late: Vec::new(),
            now_ms: 1_000,
            appended: 0,
            until_ms: BTreeMap::new(),
            last_record: None,
            written_ms: None,
        }
    }

    fn append(&mut self, record: StreamRecord) {
        self.log.append(record, self.now_ms);
        let until_ms = self.now_ms + u64::from(record.life_ms);
        let known = self.until_ms.entry(record.key);
        let known = known.or_insert((record.version, until_ms));
        known.1 = known.1.max(until_ms);
        self.last_record = Some(record);
    }

    fn process(&mut self, event: &LogEvent) {
        match *event {
            LogEvent::Append { workspace, count } => {
                for _ in 0..count {
                    self.appended += 1;
                    self.append(record(workspace, self.appended, LIFE_MS));
                }
            }
            LogEvent::Repeat { life_ms } => {
                if let Some(record) = self.last_record {
                    self.append(StreamRecord { life_ms, ..record });
                }
            }
            LogEvent::Step(fate) => {
                self.step(fate);
            }
            LogEvent::Wait(wait_ms) => self.now_ms += wait_ms,
            LogEvent::ExecuteLate => {
                for batch in std::mem::take(&mut self.late) {
                    self.store.write(&batch, self.now_ms);
                }
            }
            LogEvent::EndLeases => {
                self.store.leases.clear();
                self.store.expire(self.now_ms);
            }
            LogEvent::TakeSnapshot => self.snapshot = self.store.clone(),
            LogEvent::RestoreSnapshot => {
                let era = self.store.era + 1;
                self.store = ModelStore {
                    era,
                    ..self.snapshot.clone()
                };
            }
            LogEvent::Recover => self.log.record_recovery(),
        }
    }

    /// Makes the next call of the writer; returns whether there is one.
    fn step(&mut self, fate: CallFate) -> bool {
        let now_ms = self.now_ms;
        let step = self.log.next_step(now_ms);
        let is_executed = matches!(fate, CallFate::Answered | CallFate::AnswerLost);
        match step {
            LogStep::Idle => return false,
            LogStep::WaitUntil(until_ms) => {
                assert!(until_ms > now_ms, "the writer does not spin");
                return false;
            }
            LogStep::AcquireLease if is_executed => {
                let id = self.store.acquire(now_ms);
                if fate == CallFate::Answered {
                    self.log.record_lease(id, StreamLog::LEASE_MS, now_ms);
                    return true;
                }
            }
            LogStep::RenewLease(id) if is_executed => {
                let is_renewed = self.store.renew(id, now_ms);
                if fate == CallFate::Answered {
                    self.log.record_renewal(id, is_renewed, now_ms, now_ms);
                    return true;
                }
            }
            LogStep::Write(batch) => {
                self.check_batch(&batch);
                match fate {
                    CallFate::Answered => {
                        let outcome = self.store.write(&batch, now_ms);
                        self.log.record_era(self.store.era, now_ms);
                        self.log.record_batch(&batch, &outcome);
                        return true;
                    }
                    CallFate::AnswerLost => drop(self.store.write(&batch, now_ms)),
                    CallFate::Late => self.late.push(batch),
                    CallFate::Refused => {}
                }
            }
            LogStep::AcquireLease | LogStep::RenewLease(_) => {}
        }
        self.log.record_failure(now_ms + 200);
        true
    }

    fn check_batch(&mut self, batch: &LogBatch) {
        let entries = 2 * batch.segments.len() + batch.removed.len();
        assert!((1..=StreamLog::MAX_BATCH_ENTRIES).contains(&entries));
        for segment in &batch.segments {
            assert!(segment.streams.len() <= StreamLog::MAX_SEGMENT_STREAMS);
        }
        let earliest = self
            .written_ms
            .map_or(0, |last_ms| last_ms + StreamLog::WRITE_INTERVAL_MS);
        assert!(earliest <= self.now_ms, "writes keep their interval");
        self.written_ms = Some(self.now_ms);
    }

    /// Checks that all streams which the store has acknowledged are in the store, as long as the
    /// writer can know.
    fn check_stored(&self) {
        let lease = self.log.lease.map_or(0, |lease| lease.id);
        let is_valid = self
            .store
            .leases
            .get(&lease)
            .is_some_and(|until_ms| *until_ms > self.now_ms);
        if !is_valid || self.log.era != Some(self.store.era) {
            return;
        }
        for (key, (version, until_ms)) in &self.until_ms {
            if *until_ms > self.now_ms && self.log.is_stored(*key) {
                assert_eq!(self.store.version(*key), Some(*version), "{key:?}");
            }
        }
    }

    /// Runs with a store that answers until the writer has nothing to do for now.
    fn settle(&mut self) {
        self.log.record_era(self.store.era, self.now_ms);
        self.log.record_recovery();
        let end_ms = self.now_ms + 6_000;
        while self.now_ms < end_ms {
            while self.step(CallFate::Answered) {}
            self.now_ms += 50;
            self.store.expire(self.now_ms);
        }
    }

    fn live(&self) -> usize {
        let live = self.until_ms.values();
        live.filter(|(_, until_ms)| *until_ms > self.now_ms).count()
    }
}

proptest! {
    /// Guards against streams that are lost after failed and late calls, the end of a lease or the
    /// return of the store from an older copy, and against keys that are never removed.
    #[test]
    fn live_streams_are_stored_after_any_faults(
        events in proptest::collection::vec(any_event(), 1..150),
    ) {
        let mut simulation = LogSimulation::new();
        for event in &events {
            simulation.process(event);
            simulation.store.expire(simulation.now_ms);
            simulation.check_stored();
        }
        let appended = simulation.appended + 1;
        let late = record(9, appended, 100_000);
        simulation.append(late);
        simulation.settle();
        simulation.check_stored();
        for (key, (version, until_ms)) in &simulation.until_ms {
            if *until_ms > simulation.now_ms {
                prop_assert!(simulation.log.is_stored(*key));
                prop_assert_eq!(simulation.store.version(*key), Some(*version));
            }
        }
        // A segment holds up to 128 streams, or those of 2 s.
        let keys = simulation.store.items.len();
        prop_assert!(keys <= 12 + simulation.live(), "{} keys", keys);
        simulation.now_ms += 100_000;
        simulation.store.expire(simulation.now_ms);
        simulation.settle();
        prop_assert_eq!(simulation.log.len(), 0);
        prop_assert_eq!(simulation.log.key_count(), 0);
        prop_assert_eq!(simulation.log.next_step(simulation.now_ms), LogStep::Idle);
        // A call that is executed late may write a segment after its removal; the lease ends it.
        simulation.process(&LogEvent::ExecuteLate);
        simulation.store.expire(simulation.now_ms + StreamLog::LEASE_MS);
        prop_assert!(simulation.store.items.is_empty());
    }
}

/// Appends `per_s` streams a second for `seconds` with a store that answers, and returns the
/// simulation.
fn run_steady(per_s: usize, seconds: u64, workspace: impl Fn(usize) -> u64) -> LogSimulation {
    const TICK_MS: u64 = 50;
    let mut simulation = LogSimulation::new();
    simulation.log.record_era(1, simulation.now_ms);
    let ticks = seconds * 1_000 / TICK_MS;
    for tick in 0..ticks {
        let due = per_s * (tick as usize + 1) / (1_000 / TICK_MS as usize);
        while simulation.appended < due {
            simulation.appended += 1;
            let number = simulation.appended;
            simulation.append(record(workspace(number), number, 60_000));
        }
        while simulation.step(CallFate::Answered) {}
        simulation.now_ms += TICK_MS;
        simulation.store.expire(simulation.now_ms);
    }
    simulation
}

#[test]
fn first_record_after_a_pause_is_written_at_once() {
    let mut log = StreamLog::default();
    log.append(record(1, 0, LIFE_MS), 1_000);
    assert_eq!(log.next_step(1_000), LogStep::AcquireLease);
    log.record_lease(1, StreamLog::LEASE_MS, 1_000);
    let LogStep::Write(batch) = log.next_step(1_010) else {
        panic!("a record is due");
    };
    log.append(record(1, 1, LIFE_MS), 1_020);
    let done = LogOutcome::Done { revision: 4 };
    log.record_batch(&batch, &done);
    assert!(log.is_stored(record(1, 0, LIFE_MS).key));
    assert!(!log.is_stored(record(1, 1, LIFE_MS).key), "it began later");
    assert_eq!(log.next_step(1_020), LogStep::WaitUntil(1_160));
    let LogStep::Write(batch) = log.next_step(1_160) else {
        panic!("a record is due");
    };
    assert_eq!(
        (batch.segments[0].number, batch.segments[0].revision),
        (0, 4)
    );
    assert_eq!(batch.segments[0].streams.len(), 2);
    log.record_batch(&batch, &done);
    log.append(record(1, 2, LIFE_MS), 5_000);
    let LogStep::Write(batch) = log.next_step(5_000) else {
        panic!("a record is due");
    };
    assert_eq!(
        (batch.segments[0].number, batch.segments[0].revision),
        (1, 0)
    );
}

/// Guards against calls for a service that has one version or no streams.
#[test]
fn writer_without_streams_is_idle() {
    let mut log = StreamLog::default();
    log.record_recovery();
    log.record_era(3, 1_000);
    assert_eq!(log.next_step(1_000), LogStep::Idle);
}

/// Guards against an unbounded number of keys, and against evicted streams of a small workspace.
#[test]
fn flood_of_one_workspace_leaves_the_streams_of_others() {
    let mut simulation = run_steady(4_000, 40, |number| match number % 100 {
        0 => 2,
        _ => 1,
    });
    simulation.settle();
    let log = &simulation.log;
    assert!(log.len() <= StreamLog::MAX_STREAMS);
    assert!(log.segments.len() <= StreamLog::MAX_SEGMENTS);
    assert_eq!(log.key_count(), simulation.store.items.len());
    assert_eq!(
        log.key_count(),
        log.segments.len(),
        "merged segments are removed"
    );
    for number in (100..=160_000).step_by(100) {
        let kept = record(2, number, 0);
        assert!(log.is_stored(kept.key), "stream {number}");
        assert_eq!(simulation.store.version(kept.key), Some(kept.version));
    }
}

/// Guards against keys that stay until the lease ends.
#[test]
fn expired_segments_are_removed_while_others_live() {
    let mut simulation = LogSimulation::new();
    simulation.append(record(1, 0, 300_000));
    for number in 1..200 {
        simulation.append(record(1, number, LIFE_MS));
        while simulation.step(CallFate::Answered) {}
        simulation.now_ms += 500;
    }
    assert!(simulation.store.items.len() > 4);
    simulation.now_ms += u64::from(LIFE_MS);
    for _ in 0..6 {
        while simulation.step(CallFate::Answered) {}
        simulation.now_ms += 1_000;
    }
    assert_eq!(simulation.store.items.len(), 1, "one stream lives");
    assert_eq!(simulation.log.key_count(), 1);
}

/// Guards against streams that are away while they are written again, and against the keys of the
/// former era that stay.
#[test]
fn streams_stay_in_the_store_while_they_are_written_again() {
    let mut simulation = run_steady(500, 10, |_| 1);
    simulation.settle();
    simulation.store.era += 1;
    simulation
        .log
        .record_era(simulation.store.era, simulation.now_ms);
    let missing = |simulation: &LogSimulation| {
        let live = simulation.until_ms.keys();
        let missing = live.filter(|key| simulation.store.version(**key).is_none());
        missing.count()
    };
    let mut steps = 0;
    while simulation.log.key_count() > simulation.log.segments.len()
        || simulation.log.stored_count() < simulation.log.len()
    {
        while simulation.step(CallFate::Answered) {
            assert_eq!(missing(&simulation), 0);
            steps += 1;
        }
        simulation.now_ms += 50;
    }
    assert!(steps > 4, "{steps} steps");
    assert_eq!(simulation.store.items.len(), simulation.log.segments.len());
}

/// Guards against streams that wait for the next renewal after their lease has ended.
#[test]
fn streams_are_written_again_at_once_when_a_write_finds_no_lease() {
    let mut simulation = run_steady(100, 4, |_| 1);
    simulation.process(&LogEvent::EndLeases);
    assert!(simulation.store.items.is_empty());
    simulation.append(record(1, 9_999, LIFE_MS));
    for _ in 0..20 {
        while simulation.step(CallFate::Answered) {}
        simulation.now_ms += 50;
    }
    assert_eq!(simulation.log.stored_count(), 401);
    simulation.check_stored();
}

/// Guards against a write per stream, and against segments that are rewritten for as long as they
/// live.
#[test]
fn writes_are_bounded_in_number_and_size() {
    let simulation = run_steady(300, 30, |number| number as u64 % 7);
    let revisions = simulation.store.revision;
    assert!(
        revisions <= 30_000 / StreamLog::WRITE_INTERVAL_MS + 1,
        "{revisions} writes"
    );
    let keys = simulation.store.items.len();
    assert!(
        keys <= 30 * 300 / StreamLog::MAX_SEGMENT_STREAMS + 16,
        "{keys} keys"
    );
    let quiet = run_steady(2, 30, |_| 1);
    assert!(
        quiet.store.items.len() <= 16,
        "{} keys",
        quiet.store.items.len()
    );
}

/// Guards against a lease that ends while streams are stored, and against renewals without any.
#[test]
fn lease_is_renewed_while_streams_are_stored() {
    let mut simulation = LogSimulation::new();
    simulation.append(record(1, 0, 300_000));
    for _ in 0..400 {
        while simulation.step(CallFate::Answered) {}
        simulation.now_ms += 500;
        simulation.store.expire(simulation.now_ms);
        assert_eq!(simulation.store.items.len(), 1);
    }
    assert_eq!(simulation.store.revision, 1, "the segment was written once");
    simulation.now_ms += 110_000;
    simulation.settle();
    assert!(simulation.store.items.is_empty());
    assert_eq!(simulation.log.next_step(simulation.now_ms), LogStep::Idle);
}
