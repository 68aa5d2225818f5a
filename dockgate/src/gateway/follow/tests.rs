use super::*;

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

#[test]
fn nothing_is_kept_while_the_store_is_steady() {
    let mut contact = StoreContact::new("test", DRAIN);
    contact.answered();
    assert_eq!(contact.kept_until_ms(), None);
}
