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
