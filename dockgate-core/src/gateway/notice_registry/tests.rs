use super::*;

const LEAVING: EndpointNotice = EndpointNotice {
    is_leaving: true,
    backoff: None,
};

const fn backoff(ms: u64) -> EndpointNotice {
    EndpointNotice {
        is_leaving: false,
        backoff: Some(Duration::from_millis(ms)),
    }
}

#[test]
fn repeated_notices_cause_no_updates() {
    let mut registry = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    assert_eq!(
        registry.receive(id, LEAVING, 1_000, 0.0),
        [NoticeUpdate::Leaving]
    );
    assert_eq!(registry.receive(id, LEAVING, 2_000, 0.0), []);
    let requested = Duration::from_millis(3_000);
    assert_eq!(
        registry.receive(id, backoff(3_000), 3_000, 0.0),
        [NoticeUpdate::BackoffRequested(requested)]
    );
    assert_eq!(registry.receive(id, backoff(3_000), 5_000, 0.0), []);
    assert_eq!(
        registry.receive(id, backoff(3_000), 8_000, 0.0),
        [NoticeUpdate::BackoffRequested(requested)]
    );
}

#[test]
fn leaving_notices_are_kept_until_some_time_after_the_last_record() {
    let mut registry = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    registry.receive(id, LEAVING, 1_000, 0.0);
    registry.expire(5_000_000, |_| true);
    assert!(registry.leaves(id));
    registry.expire(5_000_000 + NoticeRegistry::TTL_MS - 1, |_| false);
    assert!(registry.leaves(id));
    registry.expire(5_000_000 + NoticeRegistry::TTL_MS, |_| false);
    assert!(!registry.leaves(id));
}

#[test]
fn the_number_of_endpoints_without_a_record_is_bounded() {
    let mut registry = NoticeRegistry::default();
    let max = NoticeRegistry::MAX_RETAINED as u64;
    for number in 0..max + 10 {
        registry.receive(EndpointId(number), LEAVING, number, 0.0);
    }
    registry.expire(max + 10, |id| id.0 < 5);
    assert_eq!(registry.notices.len() as u64, max + 5);
    assert!(
        registry.leaves(EndpointId(0)),
        "an endpoint with a record is kept"
    );
    assert!(
        !registry.leaves(EndpointId(9)),
        "the oldest without a record is removed"
    );
}

fn remaining_backoff_ms(registry: &NoticeRegistry, id: EndpointId, now_ms: u64) -> Option<u64> {
    let remaining = registry.remaining_backoff(id, now_ms);
    remaining.map(|remaining| remaining.as_millis() as u64)
}

#[test]
fn a_backoff_ends_at_the_latest_requested_time() {
    let mut registry = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    registry.receive(id, backoff(3_000), 1_000, 0.0);
    registry.receive(id, backoff(1_000), 1_500, 0.0);
    assert_eq!(remaining_backoff_ms(&registry, id, 2_500), Some(1_500));
    registry.receive(id, backoff(3_000), 2_500, 0.0);
    assert_eq!(remaining_backoff_ms(&registry, id, 4_000), Some(1_500));
    assert_eq!(remaining_backoff_ms(&registry, id, 5_500), None);
}

#[test]
fn an_answer_does_not_end_a_backoff() {
    let mut registry = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    registry.receive(id, backoff(3_000), 1_000, 0.0);
    registry.note_answered(id, 1_200);
    assert!(!registry.accepts_requests(id, 3_999) && !registry.may_send(id, 3_999));
    assert!(registry.accepts_requests(id, 4_000) && registry.may_send(id, 4_000));
}

#[test]
fn a_probe_precedes_other_requests_after_a_backoff() {
    let mut registry = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    registry.receive(id, backoff(3_000), 1_000, 0.0);
    registry.note_sent(id, 4_000);
    assert!(
        registry.accepts_requests(id, 4_010),
        "the probe itself may be sent"
    );
    assert!(
        !registry.may_send(id, 4_010),
        "other requests wait for the probe"
    );
    registry.note_answered(id, 4_020);
    assert!(registry.may_send(id, 4_020));
    registry.note_sent(id, 4_030);
    assert!(
        registry.may_send(id, 4_040),
        "all requests are allowed after the answer"
    );
}

#[test]
fn an_unanswered_probe_delays_other_requests_briefly() {
    let mut registry = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    registry.receive(id, backoff(3_000), 1_000, 0.0);
    registry.note_sent(id, 4_000);
    assert!(!registry.may_send(id, 4_099));
    assert!(registry.may_send(id, 4_100));
}

#[test]
fn jitter_spreads_the_end_of_a_backoff() {
    let ends = [0.0, 0.5, 1.0].map(|draw| {
        let mut registry = NoticeRegistry::default();
        let id = EndpointId::from_name("life-1");
        registry.receive(id, backoff(3_000), 0, draw);
        remaining_backoff_ms(&registry, id, 0)
    });
    assert_eq!(ends, [Some(3_000), Some(3_150), Some(3_300)]);
}

#[test]
fn the_length_of_a_backoff_is_bounded() {
    let mut registry = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    let notice = EndpointNotice {
        is_leaving: false,
        backoff: Some(Duration::MAX),
    };
    registry.receive(id, notice, 1_000, 0.0);
    assert_eq!(
        registry.remaining_backoff(id, 1_000),
        Some(Duration::from_hours(1))
    );
}
