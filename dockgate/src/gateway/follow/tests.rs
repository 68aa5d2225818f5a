use super::*;
use yare::parameterized;

const DRAIN: Duration = Duration::from_secs(2);

#[test]
fn a_record_that_goes_as_the_store_returns_is_given_up_within_the_drain_bound() {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.lost(&PlatformError::TimedOut("watch", "store".to_owned()));
    contact.answered();
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
    contact.lost(&PlatformError::TimedOut("watch", "store".to_owned()));
    contact.answered();
    let until = contact.kept_until_ms().expect("it has just come back");
    assert!(until <= now_ms() + RECORDS_BACK.as_millis() as u64);
}

#[test]
fn nothing_is_kept_while_the_store_is_steady() {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.answered();
    assert_eq!(contact.kept_until_ms(), None);
}
