use super::*;
use yare::parameterized;

const DRAIN: Duration = Duration::from_secs(2);
const OUTAGE_MS: u64 = 5_000;

#[test]
fn a_record_that_goes_as_the_store_returns_is_given_up_within_the_drain_bound() {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.note_failure(&PlatformError::TimedOut("watch", "store".to_owned()));
    contact.note_recovery(OUTAGE_MS);
    let until = contact.kept_until_ms().expect("it has just come back");
    assert!(
        until < now_ms() + DRAIN.as_millis() as u64 - 300,
        "what is under way must arrive"
    );
}

/// Where draining endpoints may be given work for long, lapsed ones still may not.
#[parameterized(
    grown = { Duration::from_secs(3) },
    long = { Duration::from_secs(30) },
)]
fn a_lapsed_record_is_gone_once_living_endpoints_have_written_theirs(drain: Duration) {
    let mut contact = StoreContact::new("test", drain);
    contact.note_failure(&PlatformError::TimedOut("watch", "store".to_owned()));
    contact.note_recovery(OUTAGE_MS);
    let until = contact.kept_until_ms().expect("it has just come back");
    assert!(until <= now_ms() + RECORD_REWRITE_TIMEOUT.as_millis() as u64);
}

#[test]
fn nothing_is_kept_while_the_store_is_steady() {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.note_answer();
    assert_eq!(contact.kept_until_ms(), None);
}

/// No record can lapse within a second, so one that is missing is that of an endpoint which left.
#[test]
fn nothing_is_kept_after_a_silence_in_which_no_record_can_lapse() {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.note_failure(&PlatformError::TimedOut("probe", "store".to_owned()));
    contact.note_answer();
    contact.note_recovery(MIN_LAPSE_OUTAGE_MS - 1);
    assert_eq!(contact.kept_until_ms(), None);
}

#[parameterized(
    never_heard = { None, true },
    long_ago = { Some(2_000), true },
    just_now = { Some(1_200), false },
)]
fn who_begins_to_follow_keeps_what_may_have_lapsed_since_its_domain_was_heard(
    proof_age_ms: Option<u64>,
    is_kept: bool,
) {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.start_following(proof_age_ms);
    assert_eq!(contact.kept_until_ms().is_some(), is_kept);
}
