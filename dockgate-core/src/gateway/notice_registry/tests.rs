use super::*;

const LEAVES: EndpointNotice = EndpointNotice {
    is_leaving: true,
    backoff: None,
};

const fn rests(ms: u64) -> EndpointNotice {
    EndpointNotice {
        is_leaving: false,
        backoff: Some(Duration::from_millis(ms)),
    }
}

#[test]
fn what_is_said_again_is_no_news() {
    let mut book = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    assert_eq!(
        book.receive(id, LEAVES, 1_000, 0.0),
        [NoticeUpdate::Leaving]
    );
    assert_eq!(book.receive(id, LEAVES, 2_000, 0.0), []);
    let rest = Duration::from_millis(3_000);
    assert_eq!(
        book.receive(id, rests(3_000), 3_000, 0.0),
        [NoticeUpdate::BackoffRequested(rest)]
    );
    assert_eq!(book.receive(id, rests(3_000), 5_000, 0.0), []);
    assert_eq!(
        book.receive(id, rests(3_000), 8_000, 0.0),
        [NoticeUpdate::BackoffRequested(rest)]
    );
}

#[test]
fn what_leaves_is_remembered_while_it_has_a_record_and_for_a_while_after() {
    let mut book = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    book.receive(id, LEAVES, 1_000, 0.0);
    book.expire(5_000_000, |_| true);
    assert!(book.is_leaving(id));
    book.expire(5_000_000 + NoticeRegistry::RETENTION_MS - 1, |_| false);
    assert!(book.is_leaving(id));
    book.expire(5_000_000 + NoticeRegistry::RETENTION_MS, |_| false);
    assert!(!book.is_leaving(id));
}

#[test]
fn what_is_remembered_of_endpoints_without_a_record_is_bounded() {
    let mut book = NoticeRegistry::default();
    let most = NoticeRegistry::MAX_RETAINED as u64;
    for number in 0..most + 10 {
        book.receive(EndpointId(number), LEAVES, number, 0.0);
    }
    book.expire(most + 10, |id| id.0 < 5);
    assert_eq!(book.heard.len() as u64, most + 5);
    assert!(book.is_leaving(EndpointId(0)), "it has a record");
    assert!(!book.is_leaving(EndpointId(9)), "the oldest without one");
}

fn rest_left_ms(book: &NoticeRegistry, id: EndpointId, now_ms: u64) -> Option<u64> {
    let left = book.remaining_backoff(id, now_ms);
    left.map(|left| left.as_millis() as u64)
}

#[test]
fn a_rest_ends_with_the_later_of_the_times_that_were_asked_for() {
    let mut book = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    book.receive(id, rests(3_000), 1_000, 0.0);
    book.receive(id, rests(1_000), 1_500, 0.0);
    assert_eq!(rest_left_ms(&book, id, 2_500), Some(1_500));
    book.receive(id, rests(3_000), 2_500, 0.0);
    assert_eq!(rest_left_ms(&book, id, 4_000), Some(1_500));
    assert_eq!(rest_left_ms(&book, id, 5_500), None);
}

#[test]
fn an_answer_that_was_under_way_does_not_end_a_rest() {
    let mut book = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    book.receive(id, rests(3_000), 1_000, 0.0);
    book.note_answered(id, 1_200);
    assert!(!book.accepts_requests(id, 3_999) && !book.may_send(id, 3_999));
    assert!(book.accepts_requests(id, 4_000) && book.may_send(id, 4_000));
}

#[test]
fn after_a_rest_one_request_goes_ahead() {
    let mut book = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    book.receive(id, rests(3_000), 1_000, 0.0);
    book.note_sent(id, 4_000);
    assert!(
        book.accepts_requests(id, 4_010),
        "the one that goes ahead is sent"
    );
    assert!(!book.may_send(id, 4_010), "and no other one");
    book.note_answered(id, 4_020);
    assert!(book.may_send(id, 4_020));
    book.note_sent(id, 4_030);
    assert!(book.may_send(id, 4_040), "once it has answered all go");
}

#[test]
fn one_that_says_nothing_holds_the_others_up_for_a_moment_only() {
    let mut book = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    book.receive(id, rests(3_000), 1_000, 0.0);
    book.note_sent(id, 4_000);
    assert!(!book.may_send(id, 4_099));
    assert!(book.may_send(id, 4_100));
}

#[test]
fn boxes_end_a_rest_one_after_the_other() {
    let ends = [0.0, 0.5, 1.0].map(|draw| {
        let mut book = NoticeRegistry::default();
        let id = EndpointId::from_name("life-1");
        book.receive(id, rests(3_000), 0, draw);
        rest_left_ms(&book, id, 0)
    });
    assert_eq!(ends, [Some(3_000), Some(3_150), Some(3_300)]);
}

#[test]
fn a_rest_without_end_is_bounded() {
    let mut book = NoticeRegistry::default();
    let id = EndpointId::from_name("life-1");
    let notice = EndpointNotice {
        is_leaving: false,
        backoff: Some(Duration::MAX),
    };
    book.receive(id, notice, 1_000, 0.0);
    assert_eq!(
        book.remaining_backoff(id, 1_000),
        Some(Duration::from_hours(1))
    );
}
