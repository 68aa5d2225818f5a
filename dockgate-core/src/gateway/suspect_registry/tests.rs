use super::{SuspectEvent, SuspectRegistry, SuspectReport};
use crate::gateway::{EndpointId, RequestFingerprint};
use std::time::Duration;

const GUILTY: RequestFingerprint = RequestFingerprint::new([1; 16]);
const VICTIM: RequestFingerprint = RequestFingerprint::new([2; 16]);

fn end(
    book: &mut SuspectRegistry,
    fingerprint: RequestFingerprint,
    endpoint: u64,
    now_ms: u64,
) -> bool {
    let news = book.note_ended(fingerprint, EndpointId(endpoint), now_ms);
    news.is_some_and(|news| news.is_quarantined)
}

fn quarantined() -> SuspectRegistry {
    let mut book = SuspectRegistry::default();
    let verdicts = [1, 2, 3].map(|number| end(&mut book, GUILTY, number, number * 1_000));
    assert_eq!(verdicts, [false, false, true]);
    book
}

#[test]
fn three_lifetimes_that_ended_are_a_verdict_and_three_tries_at_one_are_none() {
    let mut book = SuspectRegistry::default();
    for now_ms in 1..20 {
        assert!(!end(&mut book, GUILTY, 7, now_ms));
    }
    assert!(!end(&mut book, GUILTY, 8, 30));
    assert!(end(&mut book, GUILTY, 9, 40));
    assert!(
        !end(&mut book, GUILTY, 10, 50),
        "it is in quarantine already"
    );
    assert_eq!(book.quarantined_count(50), 1);
}

#[test]
fn what_runs_to_its_end_between_is_cleared() {
    let mut book = SuspectRegistry::default();
    for number in 1..=9 {
        assert!(!end(&mut book, VICTIM, number, number * 100));
        if number % 2 == 0 {
            book.note_completed(VICTIM, number * 100 + 50);
        }
    }
    assert_eq!(book.quarantined_count(1_000), 0);
}

#[test]
fn an_end_from_before_the_completion_that_is_told_late_does_not_count() {
    let mut book = SuspectRegistry::default();
    end(&mut book, VICTIM, 1, 100);
    book.note_completed(VICTIM, 1_000);
    let late = [2, 3, 4].map(|number| SuspectReport {
        fingerprint: VICTIM,
        sign: SuspectEvent::Ended(EndpointId(number)),
        age_ms: 700,
    });
    assert!(book.receive(&late, 1_500).is_empty());
    assert_eq!(book.quarantined_count(1_500), 0);
}

#[test]
fn a_completion_after_the_verdict_releases_it_everywhere() {
    let mut book = quarantined();
    let mut other = SuspectRegistry::default();
    assert_eq!(other.receive(&book.reports(true, 3_100), 9_100).len(), 1);
    let news = book.note_completed(GUILTY, 3_500).unwrap();
    assert!(!news.is_quarantined);
    let news = other.receive(&book.reports(false, 3_600), 9_600);
    assert!(news.iter().all(|news| !news.is_quarantined) && news.len() == 1);
    // What tells of the verdict is late.
    assert!(
        other
            .receive(&quarantined().reports(true, 3_100), 9_700)
            .is_empty()
    );
    assert_eq!(other.quarantined_count(9_700), 0);
}

#[test]
fn one_that_was_released_goes_into_quarantine_again_after_as_many_ends() {
    let mut book = quarantined();
    book.release(GUILTY, 4_000);
    let again = [11, 12, 13].map(|number| end(&mut book, GUILTY, number, 4_000 + number));
    assert_eq!(again, [false, false, true]);
    let mut released = quarantined();
    released.release(GUILTY, 4_000);
    released.receive(&book.reports(true, 5_000), 5_000);
    assert_eq!(
        released.quarantined_count(5_000),
        1,
        "the later verdict counts"
    );
}

#[test]
fn trials_are_rare_and_there_are_two() {
    let mut book = quarantined();
    let next = |book: &SuspectRegistry, now_ms: u64| {
        book.quarantine(GUILTY, now_ms).unwrap().next_trial(now_ms)
    };
    assert_eq!(next(&book, 3_000), Some(Duration::from_secs(30)));
    assert_eq!(next(&book, 33_000), Some(Duration::ZERO));
    let tried = book.quarantine(GUILTY, 33_000).unwrap().with_trial(33_000);
    book.merge(GUILTY, tried, 33_000);
    assert_eq!(next(&book, 33_000), Some(Duration::from_secs(300)));
    let tried = book
        .quarantine(GUILTY, 333_000)
        .unwrap()
        .with_trial(333_000);
    book.merge(GUILTY, tried, 333_000);
    assert_eq!(next(&book, 900_000), None);
    let after = book
        .quarantine(GUILTY, 333_000)
        .unwrap()
        .retry_after(333_000);
    assert_eq!(after, Duration::from_secs(86_400));
    assert_eq!(book.quarantined_count(333_000 + 86_400_000), 0);
}

#[test]
fn a_box_that_has_just_begun_learns_what_happened_before_its_start() {
    let book = quarantined();
    let mut begun = SuspectRegistry::default();
    begun.receive(&book.reports(true, 500_000), 5);
    assert_eq!(begun.quarantined_count(5), 1);
    let known = begun.quarantine(GUILTY, 5).unwrap();
    assert_eq!(known.next_trial(5), Some(Duration::ZERO));
}

#[test]
fn what_is_told_again_is_no_news() {
    let mut book = quarantined();
    let mut other = SuspectRegistry::default();
    let rows = book.reports(true, 3_100);
    assert_eq!(other.receive(&rows, 3_110).len(), 1);
    for round in 1..50 {
        let now_ms = 3_110 + round * 300;
        let rows = other.reports(true, now_ms);
        book.receive(&rows, now_ms + 40);
        let rows = book.reports(true, now_ms + 50);
        other.receive(&rows, now_ms + 90);
    }
    assert!(
        book.reports(false, 20_000).is_empty(),
        "it is not fresh for ever"
    );
    assert_eq!(book.reports(true, 20_000).len(), 1);
}

#[test]
fn a_flood_of_requests_under_which_endpoints_end_has_bounds() {
    let mut book = SuspectRegistry::default();
    let fingerprint = |number: u32| {
        let mut bytes = [0; 16];
        bytes[..4].copy_from_slice(&number.to_le_bytes());
        RequestFingerprint::new(bytes)
    };
    let mut now_ms = 1;
    for number in 0..5_000 {
        let ends = if number % 10 == 0 { 3 } else { 1 };
        for endpoint in 0..ends {
            end(
                &mut book,
                fingerprint(number),
                u64::from(number) * 4 + endpoint,
                now_ms,
            );
            now_ms += 1;
        }
    }
    let most = SuspectRegistry::MAX_QUARANTINED + SuspectRegistry::MAX_SUSPECTS;
    assert!(book.suspects.len() <= most);
    assert!(book.reports(false, now_ms).len() <= most);
    book.expire(now_ms);
    assert_eq!(
        book.quarantined_count(now_ms),
        SuspectRegistry::MAX_QUARANTINED
    );
    assert_eq!(
        book.quarantines(now_ms).len(),
        SuspectRegistry::MAX_QUARANTINED
    );
    assert!(
        book.quarantine(fingerprint(4_990), now_ms).is_some(),
        "the newest stay"
    );
    book.expire(now_ms + SuspectRegistry::RETENTION_MS);
    assert_eq!(book.suspects.len(), SuspectRegistry::MAX_QUARANTINED);
    assert!(book.has_quarantined());
    book.expire(now_ms + 86_400_000);
    assert!(book.is_empty() && !book.has_quarantined());
}
