use super::*;

fn source(is_same_domain: bool) -> Option<StateSource> {
    Some(StateSource {
        state_address: "10.0.0.1:7500".parse().unwrap(),
        is_same_domain,
    })
}

/// Returns after how many milliseconds a box that is behind asks.
fn measure_query_delay_ms(is_same_domain: bool, has_watch: bool) -> u64 {
    let mut backoff = QueryBackoff::default();
    let is_due = |at_ms: &u64| {
        backoff
            .due(source(is_same_domain), has_watch, *at_ms)
            .is_some()
    };
    (1_000..3_000).find(is_due).unwrap() - 1_000
}

#[test]
fn a_box_waits_for_its_own_watch_and_for_its_own_domain_but_not_for_nothing() {
    assert_eq!(measure_query_delay_ms(true, false), 0);
    assert_eq!(measure_query_delay_ms(false, false), REMOTE_QUERY_DELAY_MS);
    assert_eq!(measure_query_delay_ms(true, true), WATCH_QUERY_DELAY_MS);
}

#[test]
fn the_patience_begins_anew_once_nobody_knows_more() {
    let mut backoff = QueryBackoff::default();
    assert!(backoff.due(source(false), false, 1_000).is_none());
    assert!(backoff.due(None, false, 1_300).is_none());
    assert!(backoff.due(source(false), false, 1_400).is_none());
    assert!(backoff.due(source(false), false, 1_750).is_some());
}

/// With one limit of 0.8 s a large configuration was asked for again and again and never taken in.
#[test]
fn news_that_does_not_come_in_time_gets_more_time_and_another_box_is_asked() {
    let peer = "10.0.0.1:7500".parse().unwrap();
    let mut backoff = QueryBackoff::default();
    let timeouts = [0; 4].map(|_| {
        let timeout = backoff.timeout().as_millis();
        backoff.record(peer, false);
        timeout
    });
    assert_eq!(timeouts, [800, 1_600, 3_200, 3_200]);
    assert_eq!(backoff.unresponsive, Some(peer));
    backoff.record(peer, true);
    assert_eq!(
        (backoff.timeout(), backoff.unresponsive),
        (ANSWER_TIMEOUT, None)
    );
}
