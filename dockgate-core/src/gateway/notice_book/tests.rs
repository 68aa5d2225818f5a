use super::*;

const LEAVES: EndpointNotice = EndpointNotice {
    leaves: true,
    rest: None,
};

const fn rests(ms: u64) -> EndpointNotice {
    EndpointNotice {
        leaves: false,
        rest: Some(Duration::from_millis(ms)),
    }
}

#[test]
fn what_is_said_again_is_no_news() {
    let mut book = NoticeBook::default();
    let id = EndpointId::from_name("life-1");
    assert_eq!(book.hear(id, LEAVES, 1_000), [NoticeNews::Leaves]);
    assert_eq!(book.hear(id, LEAVES, 2_000), []);
    let rest = Duration::from_millis(3_000);
    assert_eq!(
        book.hear(id, rests(3_000), 3_000),
        [NoticeNews::Rests(rest)]
    );
    assert_eq!(book.hear(id, rests(3_000), 5_000), []);
    assert_eq!(
        book.hear(id, rests(3_000), 8_000),
        [NoticeNews::Rests(rest)]
    );
}

#[test]
fn what_leaves_is_remembered_while_it_has_a_record_and_for_a_while_after() {
    let mut book = NoticeBook::default();
    let id = EndpointId::from_name("life-1");
    book.hear(id, LEAVES, 1_000);
    book.expire(5_000_000, |_| true);
    assert!(book.leaves(id));
    book.expire(5_000_000 + NoticeBook::KEPT_MS - 1, |_| false);
    assert!(book.leaves(id));
    book.expire(5_000_000 + NoticeBook::KEPT_MS, |_| false);
    assert!(!book.leaves(id));
}

#[test]
fn what_is_remembered_of_endpoints_without_a_record_is_bounded() {
    let mut book = NoticeBook::default();
    let most = NoticeBook::MOST_KEPT as u64;
    for number in 0..most + 10 {
        book.hear(EndpointId(number), LEAVES, number);
    }
    book.expire(most + 10, |id| id.0 < 5);
    assert_eq!(book.heard.len() as u64, most + 5);
    assert!(book.leaves(EndpointId(0)), "it has a record");
    assert!(!book.leaves(EndpointId(9)), "the oldest without one");
}
