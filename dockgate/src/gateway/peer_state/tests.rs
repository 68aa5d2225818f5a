use super::*;

fn better(is_same_domain: bool) -> Option<StateSource> {
    Some(StateSource {
        state_address: "10.0.0.1:7500".parse().unwrap(),
        is_same_domain,
    })
}

/// Returns after how many milliseconds a box that is behind asks.
fn asks_after_ms(is_same_domain: bool, has_watch: bool) -> u64 {
    let mut backoff = QueryBackoff::default();
    let asks = |at_ms: &u64| {
        backoff
            .due(better(is_same_domain), has_watch, *at_ms)
            .is_some()
    };
    (1_000..3_000).find(asks).unwrap() - 1_000
}

#[test]
fn a_box_waits_for_its_own_watch_and_for_its_own_domain_but_not_for_nothing() {
    assert_eq!(asks_after_ms(true, false), 0);
    assert_eq!(asks_after_ms(false, false), FAR_PATIENCE_MS);
    assert_eq!(asks_after_ms(true, true), WATCH_PATIENCE_MS);
}

#[test]
fn the_patience_begins_anew_once_nobody_knows_more() {
    let mut backoff = QueryBackoff::default();
    assert!(backoff.due(better(false), false, 1_000).is_none());
    assert!(backoff.due(None, false, 1_300).is_none());
    assert!(backoff.due(better(false), false, 1_400).is_none());
    assert!(backoff.due(better(false), false, 1_750).is_some());
}

/// With one limit of 0.8 s a large configuration was asked for again and again and never taken in.
#[test]
fn news_that_does_not_come_in_time_gets_more_time_and_another_box_is_asked() {
    let peer = "10.0.0.1:7500".parse().unwrap();
    let mut backoff = QueryBackoff::default();
    let limits = [0; 4].map(|_| {
        let limit = backoff.limit().as_millis();
        backoff.note(peer, false);
        limit
    });
    assert_eq!(limits, [800, 1_600, 3_200, 3_200]);
    assert_eq!(backoff.silent, Some(peer));
    backoff.note(peer, true);
    assert_eq!((backoff.limit(), backoff.silent), (ANSWER, None));
}
