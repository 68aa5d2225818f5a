use super::*;
use proptest::prelude::*;

const LEAVES: EndpointNotice = EndpointNotice {
    is_leaving: true,
    backoff: None,
};

/// Creates a revision of a store that reports no era.
const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

fn record(started_ms: u64, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: "e".to_owned(),
        started_ms: Some(started_ms),
        service: "x".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 4,
        state,
        warmup_ms: 0,
        version: "v1".to_owned(),
    }
}

fn put(started_ms: u64, revision: u64) -> EndpointChange {
    EndpointChange::Put(record(started_ms, EndpointState::Ready), at(revision))
}

fn is_ready(registry: &EndpointRegistry, id: EndpointId) -> bool {
    registry.ready("x").iter().any(|ready| ready.id == id)
}

/// An event of an endpoint's record after the endpoint announced that it leaves.
#[derive(Debug, Clone, Copy)]
enum RecordEvent {
    WrittenReady,
    Removed,
    Lapsed,
    Unusable,
    ListedWithout,
    ReportedByAnother,
    Time,
}

fn event() -> impl Strategy<Value = RecordEvent> {
    prop::sample::select(vec![
        RecordEvent::WrittenReady,
        RecordEvent::Removed,
        RecordEvent::Lapsed,
        RecordEvent::Unusable,
        RecordEvent::ListedWithout,
        RecordEvent::ReportedByAnother,
        RecordEvent::Time,
    ])
}

proptest! {
    /// Guards against requests to a leaving lifetime after its record changed; the next lifetime
    /// under the id is used from its first record on.
    #[test]
    fn leaving_is_final_for_a_lifetime(events in prop::collection::vec(event(), 0..40)) {
        let mut registry = EndpointRegistry::default();
        let id = record(1, EndpointState::Ready).key();
        let mut now_ms = 1_000;
        let mut revision = 1;
        registry.apply(put(1, revision), None);
        prop_assert!(is_ready(&registry, id));
        registry.receive_notice(id, LEAVES, now_ms, 0.0);
        prop_assert!(!is_ready(&registry, id));
        for event in events {
            revision += 1;
            let removed = EndpointChange::Removed("e".to_owned(), at(revision));
            match event {
                RecordEvent::WrittenReady => drop(registry.apply(put(1, revision), None)),
                RecordEvent::Removed => drop(registry.apply(removed, None)),
                RecordEvent::Lapsed => drop(registry.apply(removed, Some(now_ms + 2_000))),
                RecordEvent::Unusable => {
                    registry.apply(EndpointChange::Unusable("e".to_owned(), at(revision)), None);
                }
                RecordEvent::ListedWithout =>
                    drop(registry.replace(Vec::new(), at(revision), None)),
                RecordEvent::ReportedByAnother => {
                    let mut other = EndpointRegistry::default();
                    other.apply(put(1, revision), None);
                    registry.merge(other.update_since(StoreRevision::NONE, now_ms), now_ms);
                }
                RecordEvent::Time => {
                    now_ms += 5_000;
                    registry.expire(now_ms);
                }
            }
            prop_assert!(!is_ready(&registry, id), "{event:?}");
            prop_assert!(!registry.notices().accepts_requests(id, now_ms));
        }
        let next = record(2, EndpointState::Ready).key();
        registry.apply(put(2, revision + 1), None);
        prop_assert!(is_ready(&registry, next) && registry.notices().accepts_requests(next, now_ms));
    }
}

#[test]
fn service_is_leaving_if_all_endpoints_leave() {
    let mut registry = EndpointRegistry::default();
    assert_eq!(
        registry.availability("x", 1_000),
        ServiceAvailability::Unknown
    );
    registry.apply(put(1, 1), None);
    registry.receive_notice(record(1, EndpointState::Ready).key(), LEAVES, 1_000, 0.0);
    assert_eq!(
        registry.availability("x", 1_000),
        ServiceAvailability::Leaving
    );
    assert_eq!(
        registry.availability("y", 1_000),
        ServiceAvailability::Unknown
    );
}

fn backoff_notice(ms: u64) -> EndpointNotice {
    EndpointNotice {
        is_leaving: false,
        backoff: Some(Duration::from_millis(ms)),
    }
}

#[test]
fn availability_reports_the_first_end_of_a_backoff() {
    let mut registry = EndpointRegistry::default();
    let ids = ["e", "f"].map(|id| {
        let record = EndpointRecord {
            id: id.to_owned(),
            ..record(1, EndpointState::Ready)
        };
        let key = record.key();
        registry.apply(EndpointChange::Put(record, at(1)), None);
        key
    });
    registry.receive_notice(ids[0], backoff_notice(3_000), 1_000, 0.0);
    assert_eq!(
        registry.availability("x", 1_000),
        ServiceAvailability::Unknown
    );
    assert_eq!(registry.eligible("x", 1_000).count(), 1);
    registry.receive_notice(ids[1], backoff_notice(2_000), 1_000, 0.0);
    assert_eq!(registry.eligible("x", 1_000).count(), 0);
    let left = Duration::from_millis(1_500);
    assert_eq!(
        registry.availability("x", 1_500),
        ServiceAvailability::BackingOff(left)
    );
    assert_eq!(registry.eligible("x", 3_000).count(), 1);
}

/// An event while an endpoint backs off.
#[derive(Debug, Clone, Copy)]
enum BackoffEvent {
    Outcome(EndpointOutcome),
    Sent,
    RemovedAndRewritten,
    ShorterBackoff,
}

proptest! {
    /// Guards against requests before the end of a backoff; the next lifetime does not inherit it.
    #[test]
    fn backoff_ends_only_with_its_time(
        events in prop::collection::vec((0_u8..8, 0_u64..700), 0..30),
        draw in 0.0_f64..1.0,
    ) {
        let mut registry = EndpointRegistry::default();
        let id = record(1, EndpointState::Ready).key();
        let mut revision = 1;
        registry.apply(put(1, revision), None);
        let (mut now_ms, end_ms) = (1_000, 4_000);
        registry.receive_notice(id, backoff_notice(end_ms - now_ms), now_ms, draw);
        for (kind, after_ms) in events {
            now_ms += after_ms;
            let event = match kind {
                0 => BackoffEvent::Outcome(EndpointOutcome::Answered),
                1 => BackoffEvent::Outcome(EndpointOutcome::Full),
                2 => BackoffEvent::Outcome(EndpointOutcome::Failed),
                3 => BackoffEvent::Outcome(EndpointOutcome::Unreachable),
                4 => BackoffEvent::Sent,
                5 => BackoffEvent::ShorterBackoff,
                _ => BackoffEvent::RemovedAndRewritten,
            };
            match event {
                BackoffEvent::Outcome(outcome) => registry.note_outcome(id, outcome, now_ms),
                BackoffEvent::Sent => registry.note_sent(id, now_ms),
                BackoffEvent::ShorterBackoff =>
                    drop(registry.receive_notice(id, backoff_notice(1), now_ms, draw)),
                BackoffEvent::RemovedAndRewritten => {
                    registry.apply(EndpointChange::Removed("e".to_owned(), at(revision + 1)), None);
                    revision += 2;
                    registry.apply(put(1, revision), None);
                }
            }
            let is_over = now_ms >= end_ms;
            prop_assert!(is_over || !registry.is_eligible(id, now_ms), "{event:?} at {now_ms}");
            prop_assert!(is_over || !registry.notices().accepts_requests(id, now_ms));
        }
        let next = record(2, EndpointState::Ready).key();
        registry.apply(put(2, revision + 1), None);
        prop_assert!(registry.is_eligible(next, now_ms));
    }
}

fn registry_with(endpoints: u64) -> (EndpointRegistry, Vec<EndpointId>) {
    let mut registry = EndpointRegistry::default();
    let records = (0..endpoints).map(|number| EndpointRecord {
        id: format!("e{number}"),
        ..record(1, EndpointState::Ready)
    });
    let records: Vec<EndpointRecord> = records.collect();
    let ids = records.iter().map(EndpointRecord::key).collect();
    for record in records {
        registry.apply(EndpointChange::Put(record, at(1)), None);
    }
    (registry, ids)
}

proptest! {
    /// Guards against a faulty box that reports all endpoints as leaving.
    #[test]
    fn reports_of_other_boxes_never_empty_a_service(
        endpoints in 1_u64..12,
        reports in prop::collection::vec((0_usize..12, 0_u64..1_000), 0..60),
    ) {
        let (mut registry, ids) = registry_with(endpoints);
        let mut now_ms = 1_000;
        for (at, after_ms) in reports {
            now_ms += after_ms;
            registry.receive_reported_leave(ids[at % ids.len()], now_ms);
            let eligible = registry.eligible("x", now_ms).count();
            prop_assert!(eligible * 2 >= ids.len(), "{eligible} of {}", ids.len());
        }
        prop_assert_eq!(registry.eligible("x", now_ms + 5_000).count(), ids.len());
    }
}

#[test]
fn reported_leave_expires() {
    let (mut registry, ids) = registry_with(2);
    assert!(registry.receive_reported_leave(ids[0], 1_000));
    assert!(
        !registry.receive_reported_leave(ids[1], 1_000),
        "one endpoint has to stay eligible"
    );
    assert!(!registry.is_eligible(ids[0], 5_999));
    assert!(
        registry.notices().accepts_requests(ids[0], 1_000),
        "requests that were placed before are sent"
    );
    assert!(registry.is_eligible(ids[0], 6_000));
}
