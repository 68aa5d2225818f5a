use super::*;
use yare::parameterized;

const DRAIN: Duration = Duration::from_secs(2);
const OUTAGE_MS: u64 = 5_000;

#[test]
fn missing_record_is_kept_shorter_than_the_drain_time() {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.record_failure(&PlatformError::TimedOut("watch", "store".to_owned()));
    contact.record_recovery(OUTAGE_MS);
    let until = contact
        .kept_until_ms()
        .expect("the store has just recovered");
    assert!(
        until < now_ms() + DRAIN.as_millis() as u64 - 300,
        "requests on their way must still arrive"
    );
}

/// A long drain time must not extend the time for which missing records are kept.
#[parameterized(
    medium = { Duration::from_secs(3) },
    long = { Duration::from_secs(30) },
)]
fn missing_record_is_dropped_once_running_endpoints_have_rewritten_theirs(drain: Duration) {
    let mut contact = StoreContact::new("test", drain);
    contact.record_failure(&PlatformError::TimedOut("watch", "store".to_owned()));
    contact.record_recovery(OUTAGE_MS);
    let until = contact
        .kept_until_ms()
        .expect("the store has just recovered");
    assert!(until <= now_ms() + REWRITE_WINDOW.as_millis() as u64);
}

#[test]
fn no_record_is_kept_without_an_outage() {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.record_answer();
    assert_eq!(contact.kept_until_ms(), None);
}

/// The record of an endpoint that left must not be kept as if it had lapsed.
#[test]
fn no_record_is_kept_after_an_outage_too_short_for_records_to_lapse() {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.record_failure(&PlatformError::TimedOut("probe", "store".to_owned()));
    contact.record_answer();
    contact.record_recovery(MIN_LAPSE_OUTAGE_MS - 1);
    assert_eq!(contact.kept_until_ms(), None);
}

#[parameterized(
    no_proof = { None, true },
    old_proof = { Some(2_000), true },
    recent_proof = { Some(1_200), false },
)]
fn new_follower_keeps_records_if_the_last_proof_is_missing_or_old(
    proof_age_ms: Option<u64>,
    is_kept: bool,
) {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.start_following(proof_age_ms, None);
    assert_eq!(contact.kept_until_ms().is_some(), is_kept);
    assert_eq!(contact.keeps_removed_records(), is_kept);
}

/// A box that has watched the store until an outage learns of removals from the other boxes.
#[parameterized(
    listed = { true },
    not_listed = { false },
)]
fn first_listing_after_an_outage_may_lack_removed_records(had_listed: bool) {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.start_following(Some(0), None);
    if had_listed {
        contact.record_era(1);
    }
    contact.record_recovery(OUTAGE_MS);
    contact.record_era(1);
    assert!(contact.kept_until_ms().is_some());
    assert_eq!(contact.keeps_removed_records(), !had_listed);
}

/// Guards against dropping endpoints that a restored store lacks, by a box that follows it only
/// since its return.
#[parameterized(
    unknown = { None, false },
    same = { Some(2), false },
    earlier = { Some(1), true },
)]
fn new_follower_keeps_records_that_a_restored_store_lacks(known_era: Option<u64>, is_kept: bool) {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.start_following(Some(100), known_era);
    contact.record_era(2);
    assert_eq!(contact.kept_until_ms().is_some(), is_kept);
}
