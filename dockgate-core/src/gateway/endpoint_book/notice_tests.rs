use super::*;
use proptest::prelude::*;

const LEAVES: EndpointNotice = EndpointNotice {
    leaves: true,
    rest: None,
};

fn record(born_ms: u64, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: "e".to_owned(),
        born_ms: Some(born_ms),
        service: "x".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 4,
        state,
        warmup_ms: 0,
    }
}

fn put(born_ms: u64, revision: u64) -> EndpointChange {
    EndpointChange::Put(record(born_ms, EndpointState::Ready), revision)
}

fn takes_work(book: &EndpointBook, id: EndpointId) -> bool {
    book.ready("x").iter().any(|ready| ready.id == id)
}

/// What may happen to the record of an endpoint after it has said that it leaves.
#[derive(Debug, Clone, Copy)]
enum RecordFault {
    WrittenReady,
    Removed,
    Lapsed,
    Unusable,
    ListedWithout,
    ToldByAnother,
    Time,
}

fn fault() -> impl Strategy<Value = RecordFault> {
    prop::sample::select(vec![
        RecordFault::WrittenReady,
        RecordFault::Removed,
        RecordFault::Lapsed,
        RecordFault::Unusable,
        RecordFault::ListedWithout,
        RecordFault::ToldByAnother,
        RecordFault::Time,
    ])
}

proptest! {
    /// Whatever becomes of its record, a lifetime that has said that it leaves takes nothing more; the next one under
    /// its id does from its first record on.
    #[test]
    fn that_a_lifetime_leaves_is_final(faults in prop::collection::vec(fault(), 0..40)) {
        let mut book = EndpointBook::default();
        let id = record(1, EndpointState::Ready).key();
        let mut now_ms = 1_000;
        let mut revision = 1;
        book.apply(put(1, revision), None);
        prop_assert!(takes_work(&book, id));
        book.hear(id, LEAVES, now_ms);
        prop_assert!(!takes_work(&book, id));
        for fault in faults {
            revision += 1;
            let removed = EndpointChange::Removed("e".to_owned(), revision);
            match fault {
                RecordFault::WrittenReady => drop(book.apply(put(1, revision), None)),
                RecordFault::Removed => drop(book.apply(removed, None)),
                RecordFault::Lapsed => drop(book.apply(removed, Some(now_ms + 2_000))),
                RecordFault::Unusable => {
                    book.apply(EndpointChange::Unusable("e".to_owned(), revision), None);
                }
                RecordFault::ListedWithout => drop(book.replace(Vec::new(), revision, None)),
                RecordFault::ToldByAnother => {
                    let mut other = EndpointBook::default();
                    other.apply(put(1, revision), None);
                    book.learn(other.tell(0, now_ms), now_ms);
                }
                RecordFault::Time => {
                    now_ms += 5_000;
                    book.expire(now_ms);
                }
            }
            prop_assert!(!takes_work(&book, id), "{fault:?}");
            prop_assert!(!book.is_wanted(id));
        }
        let next = record(2, EndpointState::Ready).key();
        book.apply(put(2, revision + 1), None);
        prop_assert!(takes_work(&book, next) && book.is_wanted(next));
    }
}

#[test]
fn where_all_leave_others_have_to_take_their_place() {
    let mut book = EndpointBook::default();
    assert_eq!(book.outlook("x"), ServiceOutlook::Unknown);
    book.apply(put(1, 1), None);
    book.hear(record(1, EndpointState::Ready).key(), LEAVES, 1_000);
    assert_eq!(book.outlook("x"), ServiceOutlook::Leaving);
    assert_eq!(book.outlook("y"), ServiceOutlook::Unknown);
}
