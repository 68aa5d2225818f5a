use super::*;
use proptest::prelude::*;

const LEAVES: EndpointNotice = EndpointNotice {
    leaves: true,
    rest: None,
};

/// Names a revision of a store that names no era.
const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

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
    EndpointChange::Put(record(born_ms, EndpointState::Ready), at(revision))
}

fn takes_work(book: &EndpointRegistry, id: EndpointId) -> bool {
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
        let mut book = EndpointRegistry::default();
        let id = record(1, EndpointState::Ready).key();
        let mut now_ms = 1_000;
        let mut revision = 1;
        book.apply(put(1, revision), None);
        prop_assert!(takes_work(&book, id));
        book.receive_notice(id, LEAVES, now_ms, 0.0);
        prop_assert!(!takes_work(&book, id));
        for fault in faults {
            revision += 1;
            let removed = EndpointChange::Removed("e".to_owned(), at(revision));
            match fault {
                RecordFault::WrittenReady => drop(book.apply(put(1, revision), None)),
                RecordFault::Removed => drop(book.apply(removed, None)),
                RecordFault::Lapsed => drop(book.apply(removed, Some(now_ms + 2_000))),
                RecordFault::Unusable => {
                    book.apply(EndpointChange::Unusable("e".to_owned(), at(revision)), None);
                }
                RecordFault::ListedWithout => drop(book.replace(Vec::new(), at(revision), None)),
                RecordFault::ToldByAnother => {
                    let mut other = EndpointRegistry::default();
                    other.apply(put(1, revision), None);
                    book.merge(other.update_since(StoreRevision::NONE, now_ms), now_ms);
                }
                RecordFault::Time => {
                    now_ms += 5_000;
                    book.expire(now_ms);
                }
            }
            prop_assert!(!takes_work(&book, id), "{fault:?}");
            prop_assert!(!book.notices().is_wanted(id, now_ms));
        }
        let next = record(2, EndpointState::Ready).key();
        book.apply(put(2, revision + 1), None);
        prop_assert!(takes_work(&book, next) && book.notices().is_wanted(next, now_ms));
    }
}

#[test]
fn where_all_leave_others_have_to_take_their_place() {
    let mut book = EndpointRegistry::default();
    assert_eq!(book.availability("x", 1_000), ServiceAvailability::Unknown);
    book.apply(put(1, 1), None);
    book.receive_notice(record(1, EndpointState::Ready).key(), LEAVES, 1_000, 0.0);
    assert_eq!(book.availability("x", 1_000), ServiceAvailability::Leaving);
    assert_eq!(book.availability("y", 1_000), ServiceAvailability::Unknown);
}

fn rests(ms: u64) -> EndpointNotice {
    EndpointNotice {
        leaves: false,
        rest: Some(Duration::from_millis(ms)),
    }
}

#[test]
fn where_all_rest_the_first_end_is_told() {
    let mut book = EndpointRegistry::default();
    let ids = ["e", "f"].map(|id| {
        let record = EndpointRecord {
            id: id.to_owned(),
            ..record(1, EndpointState::Ready)
        };
        let key = record.key();
        book.apply(EndpointChange::Put(record, at(1)), None);
        key
    });
    book.receive_notice(ids[0], rests(3_000), 1_000, 0.0);
    assert_eq!(book.availability("x", 1_000), ServiceAvailability::Unknown);
    assert_eq!(book.eligible("x", 1_000).count(), 1);
    book.receive_notice(ids[1], rests(2_000), 1_000, 0.0);
    assert_eq!(book.eligible("x", 1_000).count(), 0);
    let left = Duration::from_millis(1_500);
    assert_eq!(
        book.availability("x", 1_500),
        ServiceAvailability::BackingOff(left)
    );
    assert_eq!(book.eligible("x", 3_000).count(), 1);
}

/// What may happen while an endpoint rests.
#[derive(Debug, Clone, Copy)]
enum RestFault {
    Sign(EndpointSign),
    Sent,
    RemovedAndWritten,
    AsksForLess,
}

proptest! {
    /// Whatever is seen of it, sent to it or becomes of its record, an endpoint gets nothing until its rest is over;
    /// a failure meanwhile does not make it open sooner, and the next lifetime has asked for none.
    #[test]
    fn a_rest_ends_with_its_time_alone(
        faults in prop::collection::vec((0_u8..8, 0_u64..700), 0..30),
        draw in 0.0_f64..1.0,
    ) {
        let mut book = EndpointRegistry::default();
        let id = record(1, EndpointState::Ready).key();
        let mut revision = 1;
        book.apply(put(1, revision), None);
        let (mut now_ms, end_ms) = (1_000, 4_000);
        book.receive_notice(id, rests(end_ms - now_ms), now_ms, draw);
        for (kind, after_ms) in faults {
            now_ms += after_ms;
            let fault = match kind {
                0 => RestFault::Sign(EndpointSign::Answered),
                1 => RestFault::Sign(EndpointSign::Full),
                2 => RestFault::Sign(EndpointSign::Failed),
                3 => RestFault::Sign(EndpointSign::Unreachable),
                4 => RestFault::Sent,
                5 => RestFault::AsksForLess,
                _ => RestFault::RemovedAndWritten,
            };
            match fault {
                RestFault::Sign(sign) => book.note_sign(id, sign, now_ms),
                RestFault::Sent => book.note_sent(id, now_ms),
                RestFault::AsksForLess => drop(book.receive_notice(id, rests(1), now_ms, draw)),
                RestFault::RemovedAndWritten => {
                    book.apply(EndpointChange::Removed("e".to_owned(), at(revision + 1)), None);
                    revision += 2;
                    book.apply(put(1, revision), None);
                }
            }
            let is_over = now_ms >= end_ms;
            prop_assert!(is_over || !book.is_eligible(id, now_ms), "{fault:?} at {now_ms}");
            prop_assert!(is_over || !book.notices().is_wanted(id, now_ms));
        }
        let next = record(2, EndpointState::Ready).key();
        book.apply(put(2, revision + 1), None);
        prop_assert!(book.is_eligible(next, now_ms));
    }
}

fn told_book(endpoints: u64) -> (EndpointRegistry, Vec<EndpointId>) {
    let mut book = EndpointRegistry::default();
    let records = (0..endpoints).map(|number| EndpointRecord {
        id: format!("e{number}"),
        ..record(1, EndpointState::Ready)
    });
    let records: Vec<EndpointRecord> = records.collect();
    let ids = records.iter().map(EndpointRecord::key).collect();
    for record in records {
        book.apply(EndpointChange::Put(record, at(1)), None);
    }
    (book, ids)
}

proptest! {
    /// Whatever other boxes say, half of a service goes on, and what they say is over after a while.
    #[test]
    fn the_word_of_others_empties_no_service(
        endpoints in 1_u64..12,
        words in prop::collection::vec((0_usize..12, 0_u64..1_000), 0..60),
    ) {
        let (mut book, ids) = told_book(endpoints);
        let mut now_ms = 1_000;
        for (at, after_ms) in words {
            now_ms += after_ms;
            book.receive_reported_leave(ids[at % ids.len()], now_ms);
            let open = book.eligible("x", now_ms).count();
            prop_assert!(open * 2 >= ids.len(), "{open} of {}", ids.len());
        }
        prop_assert_eq!(book.eligible("x", now_ms + 5_000).count(), ids.len());
    }
}

#[test]
fn what_another_box_says_counts_until_it_is_over() {
    let (mut book, ids) = told_book(2);
    assert!(book.receive_reported_leave(ids[0], 1_000));
    assert!(
        !book.receive_reported_leave(ids[1], 1_000),
        "one has to go on"
    );
    assert!(!book.is_eligible(ids[0], 5_999));
    assert!(
        book.notices().is_wanted(ids[0], 1_000),
        "what was decided before is sent"
    );
    assert!(book.is_eligible(ids[0], 6_000));
}
