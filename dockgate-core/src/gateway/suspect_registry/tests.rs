use super::{Quarantine, QuarantineStage, SuspectEvent, SuspectRegistry, SuspectReport};
use crate::gateway::{EndpointId, SuspectKey, SuspectKind};
use std::time::Duration;

const HARMFUL: SuspectKey = SuspectKey::new([1; 16]);
const HARMLESS: SuspectKey = SuspectKey::new([2; 16]);

fn end(
    registry: &mut SuspectRegistry,
    fingerprint: SuspectKey,
    endpoint: u64,
    now_ms: u64,
) -> bool {
    let changes = registry.note_ended(&[fingerprint], EndpointId(endpoint), now_ms);
    changes.iter().any(|change| change.is_quarantined)
}

fn quarantined() -> SuspectRegistry {
    let mut registry = SuspectRegistry::default();
    let verdicts = [1, 2, 3].map(|number| end(&mut registry, HARMFUL, number, number * 1_000));
    assert_eq!(verdicts, [false, false, true]);
    registry
}

#[test]
fn three_ended_lifetimes_are_a_verdict_but_repeated_ends_of_one_are_not() {
    let mut registry = SuspectRegistry::default();
    for now_ms in 1..20 {
        assert!(!end(&mut registry, HARMFUL, 7, now_ms));
    }
    assert!(!end(&mut registry, HARMFUL, 8, 30));
    assert!(end(&mut registry, HARMFUL, 9, 40));
    assert!(
        !end(&mut registry, HARMFUL, 10, 50),
        "the request is already in quarantine"
    );
    assert_eq!(registry.quarantined_count(50), 1);
}

/// Guards against a stored number of verdicts that overflows with the next verdict.
#[test]
fn request_of_the_largest_number_of_verdicts_is_quarantined_again() {
    let mut registry = SuspectRegistry::default();
    let stage = QuarantineStage {
        verdict: u32::MAX,
        released: true,
        trials: u8::MAX,
    };
    registry.merge(HARMFUL, Quarantine { stage, at_ms: 0 }, 0);
    let verdicts = [1, 2, 3].map(|number| end(&mut registry, HARMFUL, number, number * 1_000));
    assert_eq!(verdicts, [false, false, true]);
}

#[test]
fn a_request_that_completes_between_ends_is_cleared() {
    let mut registry = SuspectRegistry::default();
    for number in 1..=9 {
        assert!(!end(&mut registry, HARMLESS, number, number * 100));
        if number % 2 == 0 {
            registry.note_completed(&[HARMLESS], number * 100 + 50);
        }
    }
    assert_eq!(registry.quarantined_count(1_000), 0);
}

#[test]
fn late_reports_of_ends_before_a_completion_are_ignored() {
    let mut registry = SuspectRegistry::default();
    end(&mut registry, HARMLESS, 1, 100);
    registry.note_completed(&[HARMLESS], 1_000);
    let late = [2, 3, 4].map(|number| SuspectReport {
        fingerprint: HARMLESS,
        event: SuspectEvent::Ended(EndpointId(number)),
        age_ms: 700,
    });
    assert!(registry.receive(&late, 1_500).is_empty());
    assert_eq!(registry.quarantined_count(1_500), 0);
}

#[test]
fn a_completion_after_the_verdict_releases_the_request_on_other_boxes() {
    let mut registry = quarantined();
    let mut other = SuspectRegistry::default();
    assert_eq!(
        other.receive(&registry.reports(true, 3_100), 9_100).len(),
        1
    );
    let changes = registry.note_completed(&[HARMFUL], 3_500);
    assert!(changes.iter().all(|change| !change.is_quarantined) && changes.len() == 1);
    let changes = other.receive(&registry.reports(false, 3_600), 9_600);
    assert!(changes.iter().all(|change| !change.is_quarantined) && changes.len() == 1);
    // The report of the verdict arrives after its release.
    assert!(
        other
            .receive(&quarantined().reports(true, 3_100), 9_700)
            .is_empty()
    );
    assert_eq!(other.quarantined_count(9_700), 0);
}

#[test]
fn a_released_request_is_quarantined_again_after_three_more_ends() {
    let mut registry = quarantined();
    registry.release(HARMFUL, 4_000);
    let again = [11, 12, 13].map(|number| end(&mut registry, HARMFUL, number, 4_000 + number));
    assert_eq!(again, [false, false, true]);
    let mut released = quarantined();
    released.release(HARMFUL, 4_000);
    released.receive(&registry.reports(true, 5_000), 5_000);
    assert_eq!(
        released.quarantined_count(5_000),
        1,
        "the later verdict wins"
    );
}

#[test]
fn two_trials_are_allowed_after_increasing_delays() {
    let mut registry = quarantined();
    let next = |registry: &SuspectRegistry, now_ms: u64| {
        registry
            .quarantine(HARMFUL, now_ms)
            .unwrap()
            .next_trial(now_ms)
    };
    assert_eq!(next(&registry, 3_000), Some(Duration::from_secs(30)));
    assert_eq!(next(&registry, 33_000), Some(Duration::ZERO));
    let tried = registry
        .quarantine(HARMFUL, 33_000)
        .unwrap()
        .with_trial(33_000);
    registry.merge(HARMFUL, tried, 33_000);
    assert_eq!(next(&registry, 33_000), Some(Duration::from_secs(300)));
    let tried = registry
        .quarantine(HARMFUL, 333_000)
        .unwrap()
        .with_trial(333_000);
    registry.merge(HARMFUL, tried, 333_000);
    assert_eq!(next(&registry, 900_000), None);
    let after = registry
        .quarantine(HARMFUL, 333_000)
        .unwrap()
        .retry_after(333_000);
    assert_eq!(after, Duration::from_secs(86_400));
    assert_eq!(registry.quarantined_count(333_000 + 86_400_000), 0);
}

#[test]
fn a_new_box_learns_of_events_before_its_start() {
    let registry = quarantined();
    let mut started = SuspectRegistry::default();
    started.receive(&registry.reports(true, 500_000), 5);
    assert_eq!(started.quarantined_count(5), 1);
    let known = started.quarantine(HARMFUL, 5).unwrap();
    assert_eq!(known.next_trial(5), Some(Duration::ZERO));
}

#[test]
fn repeated_reports_change_nothing() {
    let mut registry = quarantined();
    let mut other = SuspectRegistry::default();
    let reports = registry.reports(true, 3_100);
    assert_eq!(other.receive(&reports, 3_110).len(), 1);
    for round in 1..50 {
        let now_ms = 3_110 + round * 300;
        let reports = other.reports(true, now_ms);
        registry.receive(&reports, now_ms + 40);
        let reports = registry.reports(true, now_ms + 50);
        other.receive(&reports, now_ms + 90);
    }
    assert!(
        registry.reports(false, 20_000).is_empty(),
        "repeated reports do not renew the entry"
    );
    assert_eq!(registry.reports(true, 20_000).len(), 1);
}

#[test]
fn the_number_of_suspects_and_quarantines_is_bounded() {
    let mut registry = SuspectRegistry::default();
    let fingerprint = |number: u32| {
        let mut bytes = [0; 16];
        bytes[..4].copy_from_slice(&number.to_le_bytes());
        SuspectKey::new(bytes)
    };
    let mut now_ms = 1;
    for number in 0..5_000 {
        let ends = if number % 10 == 0 { 3 } else { 1 };
        for endpoint in 0..ends {
            end(
                &mut registry,
                fingerprint(number),
                u64::from(number) * 4 + endpoint,
                now_ms,
            );
            now_ms += 1;
        }
    }
    let max = SuspectRegistry::MAX_QUARANTINED + SuspectRegistry::MAX_SUSPECTS;
    assert!(registry.suspects.len() <= max);
    assert!(registry.reports(false, now_ms).len() <= max);
    registry.expire(now_ms);
    assert_eq!(
        registry.quarantined_count(now_ms),
        SuspectRegistry::MAX_QUARANTINED
    );
    assert_eq!(
        registry.quarantines(now_ms).len(),
        SuspectRegistry::MAX_QUARANTINED
    );
    assert!(
        registry.quarantine(fingerprint(4_990), now_ms).is_some(),
        "the newest quarantines are kept"
    );
    registry.expire(now_ms + SuspectRegistry::RETENTION_MS);
    assert_eq!(registry.suspects.len(), SuspectRegistry::MAX_QUARANTINED);
    assert!(registry.has_quarantined());
    registry.expire(now_ms + 86_400_000);
    assert!(registry.is_empty() && !registry.has_quarantined());
}

#[test]
fn a_quarantined_part_needs_no_fingerprints_of_requests() {
    let (part, request) = (SuspectKey::of_part("model", 1), SuspectKey::new([7; 16]));
    let mut registry = SuspectRegistry::default();
    for endpoint in 1..=3 {
        registry.note_ended(&[part], EndpointId(endpoint), 1_000 * endpoint);
    }
    let counts = |registry: &SuspectRegistry| {
        let kinds = [SuspectKind::Part, SuspectKind::Request];
        kinds.map(|kind| registry.quarantined_of(kind, 10_000))
    };
    assert_eq!(
        (counts(&registry), registry.has_quarantined_requests()),
        ([1, 0], false)
    );
    for endpoint in 4..=6 {
        registry.note_ended(&[request], EndpointId(endpoint), 1_000 * endpoint);
    }
    assert_eq!(
        (counts(&registry), registry.has_quarantined_requests()),
        ([1, 1], true)
    );
    registry.expire(10_000);
    assert!(registry.has_quarantined_requests());
    registry.note_completed(&[request], 10_001);
    assert_eq!(
        (counts(&registry), registry.has_quarantined_requests()),
        ([1, 0], false)
    );
    assert_eq!(registry.ended_lifetimes(part), [1, 2, 3].map(EndpointId));
}
