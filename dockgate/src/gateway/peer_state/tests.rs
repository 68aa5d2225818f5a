use super::*;

fn source(is_same_domain: bool) -> Option<StateSource> {
    Some(StateSource {
        state_address: "10.0.0.1:7500".parse().unwrap(),
        is_same_domain,
    })
}

/// Returns the delay until an outdated box sends a query, in milliseconds.
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
fn query_waits_for_the_own_watch_and_the_own_domain() {
    assert_eq!(measure_query_delay_ms(true, false), 0);
    assert_eq!(measure_query_delay_ms(false, false), REMOTE_QUERY_DELAY_MS);
    assert_eq!(measure_query_delay_ms(true, true), WATCH_QUERY_DELAY_MS);
    let remote_ms = measure_query_delay_ms(false, true);
    assert_eq!(remote_ms, REMOTE_WATCH_QUERY_DELAY_MS);
}

#[test]
fn query_delay_restarts_once_no_box_has_newer_state() {
    let mut backoff = QueryBackoff::default();
    assert!(backoff.due(source(false), false, 1_000).is_none());
    assert!(backoff.due(None, false, 1_300).is_none());
    assert!(backoff.due(source(false), false, 1_400).is_none());
    assert!(backoff.due(source(false), false, 1_750).is_some());
}

/// With a fixed timeout, a large configuration might never arrive.
#[test]
fn timeout_doubles_and_the_failed_box_is_recorded_after_a_missing_answer() {
    let peer = "10.0.0.1:7500".parse().unwrap();
    let mut backoff = QueryBackoff::default();
    let timeouts = [0; 4].map(|_| {
        let timeout = backoff.timeout().as_millis();
        backoff.record(peer, false);
        timeout
    });
    assert_eq!(timeouts, [800, 1_600, 3_200, 3_200]);
    assert_eq!(backoff.failed, Some(peer));
    backoff.record(peer, true);
    assert_eq!((backoff.timeout(), backoff.failed), (ANSWER_TIMEOUT, None));
}
