use super::*;

const MODEL: u64 = 7;
const V1: ServiceVersion = ServiceVersion {
    service: MODEL,
    version: SoftwareVersion(1),
};
const V2: ServiceVersion = ServiceVersion {
    service: MODEL,
    version: SoftwareVersion(2),
};
const ERA: u64 = 3;

/// A box, and the store's copy of the ledger.
struct TestBox {
    keeper: LedgerKeeper,
    history: VersionHistory,
    ready: BTreeSet<ServiceVersion>,
    revision: u64,
}

impl TestBox {
    fn new() -> Self {
        Self {
            keeper: LedgerKeeper::default(),
            history: VersionHistory::default(),
            ready: BTreeSet::new(),
            revision: 0,
        }
    }

    fn observe(&mut self, ready: &[ServiceVersion], now_ms: u64) {
        self.ready = ready.iter().copied().collect();
        self.history.observe(ready.iter().copied(), true, now_ms);
        self.keeper.update(&self.history);
    }

    fn read(&mut self, stored: Option<VersionLedger>, is_first_start: bool, now_ms: u64) {
        self.revision += 1;
        let revision = StoreRevision::new(ERA, self.revision);
        let Self {
            keeper, history, ..
        } = self;
        keeper.merge(stored, revision, history, is_first_start, now_ms);
        keeper.update(history);
    }

    const fn context(&self, now_ms: u64) -> LedgerContext<'_> {
        LedgerContext {
            history: &self.history,
            ready: &self.ready,
            era: ERA,
            now_ms,
        }
    }

    fn propose(&self, now_ms: u64) -> Option<VersionLedger> {
        let context = self.context(now_ms);
        self.keeper.propose(context, LedgerDuty::Maintain)
    }

    /// Replaces the ledger as often as that is due, and returns it.
    fn maintain(&mut self, now_ms: u64) -> VersionLedger {
        while let Some(next) = self.propose(now_ms) {
            self.revision += 1;
            let revision = StoreRevision::new(ERA, self.revision);
            self.keeper.record_write(next, revision, now_ms);
            self.keeper.update(&self.history);
        }
        self.keeper.ledger().cloned().unwrap()
    }
}

fn ledger(
    era: u64,
    complete_ms: u64,
    versions: &[(ServiceVersion, VersionStage)],
) -> VersionLedger {
    VersionLedger {
        era,
        complete_ms,
        versions: versions.iter().copied().collect(),
    }
}

/// Guards against streams that begin at a version of which no other box can know yet.
#[test]
fn version_is_announced_before_it_is_admitted() {
    let mut first = TestBox::new();
    first.observe(&[V1], 1_000);
    first.read(None, true, 1_000);
    assert_eq!(first.maintain(1_000).only_admitted(MODEL), Some(V1.version));
    first.observe(&[V1, V2], 5_000);
    assert!(first.keeper.is_unadmitted(V2) && !first.keeper.is_unadmitted(V1));
    let announced = first.maintain(5_000);
    assert_eq!(announced.versions[&V2], VersionStage::Announced);
    assert_eq!(announced.only_admitted(MODEL), Some(V1.version));
    let admitted_ms = 5_000 + LedgerKeeper::ADMISSION_DELAY_MS;
    assert!(!first.maintain(admitted_ms - 1).is_admitted(V2));
    assert!(first.maintain(admitted_ms).is_admitted(V2));
    assert!(first.keeper.admits_all());
}

/// Guards against requests that are refused because the only version left is not admitted yet.
#[test]
fn version_that_alone_is_served_is_admitted_at_once() {
    let mut first = TestBox::new();
    first.observe(&[V1], 1_000);
    first.read(None, true, 1_000);
    first.maintain(1_000);
    first.observe(&[V2], 5_000);
    assert!(first.maintain(5_000).is_admitted(V2));
    assert_eq!(
        first.maintain(5_000).only_admitted(MODEL),
        None,
        "V1 may have streams"
    );
}

/// Guards against a ledger begun anew that is taken for the whole history by the next box.
#[test]
fn ledger_that_was_missing_is_not_complete() {
    let mut first = TestBox::new();
    first.observe(&[V2], 1_000);
    first.read(None, false, 1_000);
    let written = first.maintain(1_000);
    assert_eq!(written.complete_ms, 0);
    let mut second = TestBox::new();
    second.observe(&[V2], 200);
    second.read(Some(written), false, 200);
    assert_eq!(second.history.known_ms(200), 0);
    second.observe(&[V2], 4_200);
    assert_eq!(second.history.known_ms(4_200), 4_000);
    assert_eq!(second.maintain(4_200).complete_ms, 4_000);
}

/// Guards against versions that the store lost as it came back from an older copy.
#[test]
fn ledger_of_an_earlier_era_is_not_complete() {
    let older = ledger(
        ERA - 1,
        VersionHistory::RETENTION_MS,
        &[(V1, VersionStage::Admitted)],
    );
    let mut new = TestBox::new();
    new.observe(&[V1], 300);
    new.read(Some(older.clone()), false, 300);
    assert_eq!(new.history.known_ms(300), 0);
    // A box that lived through the return knows what the copy lacks.
    let mut lived = TestBox::new();
    lived.observe(&[V1, V2], 1_000);
    lived.read(None, true, 1_000);
    lived.maintain(1_000);
    lived.observe(&[V1], 90_000);
    lived.read(Some(older), false, 90_000);
    let written = lived.maintain(90_000);
    assert!(written.is_admitted(V2) && written.era == ERA);
    // It may not have heard of a version that was admitted a moment before.
    assert_eq!(written.complete_ms, 0);
    let settled_ms = 90_000 + LedgerKeeper::SETTLE_DELAY_MS;
    lived.observe(&[V1], settled_ms - 1);
    assert_eq!(lived.maintain(settled_ms - 1), written);
    let written = lived.maintain(settled_ms);
    assert!(written.is_admitted(V2) && written.era == ERA);
    assert_eq!(written.complete_ms, VersionHistory::RETENTION_MS);
}

/// Guards against a box that removes a version of which it has not heard.
#[test]
fn versions_of_other_boxes_stay_listed_until_they_have_left() {
    let mut late = TestBox::new();
    late.observe(&[V1], 1_000);
    late.read(None, true, 1_000);
    late.maintain(1_000);
    let both = ledger(
        ERA,
        VersionHistory::RETENTION_MS,
        &[(V1, VersionStage::Admitted), (V2, VersionStage::Admitted)],
    );
    late.read(Some(both.clone()), false, 2_000);
    assert_eq!(late.maintain(2_000), both);
    let left_ms = 2_000 + VersionHistory::RETENTION_MS + 1;
    late.observe(&[V1], left_ms);
    assert_eq!(
        late.maintain(left_ms).only_admitted(MODEL),
        Some(V1.version)
    );
}

/// Guards against a read that is overtaken by a later one and undoes it.
#[test]
fn older_read_does_not_replace_a_later_one() {
    let mut first = TestBox::new();
    first.observe(&[V1, V2], 1_000);
    let both = ledger(
        ERA,
        0,
        &[(V1, VersionStage::Admitted), (V2, VersionStage::Admitted)],
    );
    first.revision = 8;
    first.read(Some(both.clone()), false, 1_000);
    first.revision = 5;
    first.read(
        Some(ledger(ERA, 0, &[(V1, VersionStage::Admitted)])),
        false,
        1_100,
    );
    assert_eq!(first.keeper.ledger(), Some(&both));
}

const BOTH: [(ServiceVersion, VersionStage); 2] =
    [(V1, VersionStage::Admitted), (V2, VersionStage::Admitted)];

/// Creates a box that has read a complete ledger of both versions.
fn box_of_both() -> TestBox {
    let mut reader = TestBox::new();
    reader.observe(&[V1, V2], 1_000);
    let stored = ledger(ERA, VersionHistory::RETENTION_MS, &BOTH);
    reader.read(Some(stored), false, 1_000);
    reader
}

/// Guards against streams of a version that was admitted and lost after this box read the ledger.
#[test]
fn announced_version_of_a_lost_ledger_may_have_streams() {
    let mut reader = TestBox::new();
    reader.observe(&[V1, V2], 1_000);
    let announced = [(V1, VersionStage::Admitted), (V2, VersionStage::Announced)];
    let stored = ledger(ERA, VersionHistory::RETENTION_MS, &announced);
    reader.read(Some(stored), false, 1_000);
    assert_eq!(reader.keeper.only_version(MODEL, 30_000), Some(V1.version));
    reader.read(None, false, 1_100);
    assert_eq!(reader.keeper.only_version(MODEL, 30_000), None);
    let written = reader.maintain(1_100);
    assert!(written.is_admitted(V2));
    assert_eq!(written.complete_ms, 0);
}

/// Guards against a version that is lost from the ledger by a box which has not heard of it.
#[test]
fn version_that_another_box_has_lost_is_listed_again() {
    let mut reader = box_of_both();
    let anew = ledger(ERA, 0, &[(V1, VersionStage::Admitted)]);
    reader.read(Some(anew), false, 2_000);
    assert_eq!(reader.keeper.only_version(MODEL, 30_000), None);
    assert!(reader.maintain(2_000).is_admitted(V2));
}

/// Guards against a box that has read no ledger before and takes one begun anew for complete.
#[test]
fn first_read_of_a_ledger_that_was_begun_anew_does_not_complete_it() {
    let mut reader = TestBox::new();
    reader.observe(&[V1], 1_000);
    reader.observe(&[V1, V2], 15_000);
    let anew = ledger(ERA, 0, &[(V1, VersionStage::Admitted)]);
    reader.read(Some(anew), false, 15_000);
    let written = reader.maintain(15_000);
    assert!(written.is_admitted(V2));
    assert_eq!(written.complete_ms, 0);
}

/// Guards against versions that each read of the ledger keeps listed.
#[test]
fn version_that_has_left_is_dropped_after_a_read() {
    let mut reader = box_of_both();
    let left_ms = 1_000 + VersionHistory::RETENTION_MS + 1;
    reader.observe(&[V1], left_ms);
    assert!(reader.propose(left_ms).is_some());
    let stored = ledger(ERA, VersionHistory::RETENTION_MS, &BOTH);
    reader.read(Some(stored), false, left_ms);
    let written = reader.maintain(left_ms);
    assert_eq!(written.only_admitted(MODEL), Some(V1.version));
    assert_eq!(written.versions.len(), 1);
}

/// Guards against a version that a suspended box drops too early, since it served meanwhile.
#[test]
fn version_that_served_while_the_box_was_suspended_stays_listed() {
    let mut reader = box_of_both();
    let awake_ms = VersionHistory::RETENTION_MS;
    reader.history.record_gap();
    reader.observe(&[V1], awake_ms);
    let stored = ledger(ERA, VersionHistory::RETENTION_MS, &BOTH);
    reader.read(Some(stored.clone()), false, awake_ms);
    reader.observe(&[V1], awake_ms + 5_000);
    reader.read(Some(stored), false, awake_ms + 5_000);
    assert!(reader.maintain(awake_ms + 5_000).is_admitted(V2));
}

/// Guards against streams without records that are refused after a version joined while all boxes
/// were down.
#[test]
fn box_that_has_just_started_admits_no_version_beside_one_that_serves() {
    let mut started = TestBox::new();
    started.observe(&[V1, V2], 300);
    let stored = ledger(
        ERA,
        VersionHistory::RETENTION_MS,
        &[(V1, VersionStage::Admitted)],
    );
    started.read(Some(stored), false, 300);
    started.maintain(300);
    let last_ms = LedgerKeeper::MIN_ADMITTING_AGE_MS - 1;
    started.observe(&[V1, V2], last_ms);
    assert_eq!(
        started.maintain(last_ms).only_admitted(MODEL),
        Some(V1.version)
    );
    assert!(started.maintain(last_ms + 1).is_admitted(V2));
}

/// Guards against streams that begin at a version which the ledger has dropped since it was read.
#[test]
fn version_that_returns_is_not_admitted_by_an_older_ledger() {
    let mut reader = box_of_both();
    let left_ms = 1_000 + VersionHistory::RETENTION_MS + 1;
    reader.observe(&[V1], left_ms);
    reader.observe(&[V1, V2], left_ms + 100);
    assert!(reader.keeper.is_unadmitted(V2));
    let context = reader.context(left_ms + 100);
    assert!(reader.keeper.is_due(context, LedgerDuty::Consult));
}

/// Guards against a fleet that starts for the first time and waits as if streams had run before.
#[test]
fn box_of_a_first_start_admits_a_version_in_a_ledger_of_another_box() {
    let mut second = TestBox::new();
    second.observe(&[V1, V2], 300);
    let announced = [(V1, VersionStage::Admitted), (V2, VersionStage::Announced)];
    let stored = ledger(ERA, VersionHistory::RETENTION_MS, &announced);
    second.read(Some(stored), true, 300);
    let admitted_ms = 300 + LedgerKeeper::ADMISSION_DELAY_MS;
    assert!(second.maintain(admitted_ms).is_admitted(V2));
}
