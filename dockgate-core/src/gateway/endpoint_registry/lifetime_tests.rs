//! Endpoints that start again under their id.

use super::*;
use proptest::prelude::*;

const FIRST: u64 = 1_000_000;

/// Names a revision of a store that names no era.
const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

/// Makes the record of a lifetime; later ones have higher numbers.
fn life(number: u64, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: "e".to_owned(),
        born_ms: Some(FIRST + number * 5_000),
        service: "x".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 4,
        state,
        warmup_ms: 0,
    }
}

fn ready(number: u64, revision: u64) -> EndpointChange {
    EndpointChange::Put(life(number, EndpointState::Ready), at(revision))
}

fn draining(number: u64, revision: u64) -> EndpointChange {
    EndpointChange::Put(life(number, EndpointState::Draining), at(revision))
}

fn key(number: u64) -> EndpointId {
    life(number, EndpointState::Ready).key()
}

fn book_of(changes: impl IntoIterator<Item = EndpointChange>) -> EndpointRegistry {
    let mut book = EndpointRegistry::default();
    for change in changes {
        book.apply(change, None);
    }
    book
}

fn takes_work(book: &EndpointRegistry) -> Vec<EndpointId> {
    book.ready("x").iter().map(|ready| ready.id).collect()
}

#[test]
fn nothing_of_the_life_before_counts_for_the_next_one() {
    let mut book = book_of([ready(1, 3)]);
    book.note_sent(key(1), 1_000);
    for _ in 0..6 {
        book.note_sign(key(1), EndpointSign::Failed, 1_000);
    }
    assert_eq!(book.eligible("x", 1_001).count(), 0, "it rests");
    assert!(book.apply(ready(2, 4), None));
    let entry = book.get(key(2)).unwrap();
    assert_eq!(entry.in_flight, 0);
    assert!(!entry.health.is_doubtful(1_001));
    assert_eq!(book.eligible("x", 1_001).count(), 1, "it has never failed");
    assert_eq!((takes_work(&book), book.iter().count()), (vec![key(2)], 1));
}

#[test]
fn what_comes_late_of_the_life_before_changes_nothing_of_the_next_one() {
    let mut book = book_of([ready(1, 3), ready(2, 4)]);
    book.note_sent(key(2), 1_000);
    book.note_request_ended(key(1));
    book.note_sign(key(1), EndpointSign::Failed, 1_000);
    for late in [draining(1, 2), ready(1, 5), draining(1, 6)] {
        assert!(!book.apply(late, None));
    }
    assert!(!book.apply(EndpointChange::Removed("e".to_owned(), at(3)), None));
    let entry = book.get(key(2)).unwrap();
    assert_eq!((entry.in_flight, entry.revision), (1, at(4)));
    assert_eq!(takes_work(&book), [key(2)]);
}

#[test]
fn a_life_that_was_said_to_leave_keeps_nothing_from_the_next_one() {
    let book = book_of([draining(1, 3), ready(2, 4)]);
    assert_eq!(takes_work(&book), [key(2)]);
    let other_way_round = book_of([ready(2, 4), draining(1, 3)]);
    assert_eq!(takes_work(&other_way_round), [key(2)]);
}

#[test]
fn a_record_of_a_life_that_has_left_since_brings_no_work() {
    let book = book_of([draining(2, 5), ready(2, 4)]);
    assert_eq!(takes_work(&book), []);
    let removed = EndpointChange::Removed("e".to_owned(), at(6));
    let book = book_of([ready(1, 3), ready(2, 4), removed, ready(2, 5)]);
    assert_eq!(takes_work(&book), []);
}

#[test]
fn an_older_revision_is_not_taken_for_a_newer_life() {
    let book = book_of([ready(2, 9), ready(1, 4), draining(2, 8)]);
    assert_eq!(takes_work(&book), [key(2)]);
}

#[test]
fn a_late_write_of_a_life_that_was_removed_brings_it_back_for_nobody() {
    let removed = EndpointChange::Removed("e".to_owned(), at(5));
    let mut book = book_of([ready(1, 3), ready(2, 4), removed, ready(1, 6)]);
    assert_eq!(takes_work(&book), []);
    assert!(book.apply(ready(2, 7), None), "it writes its record again");
    assert!(book.expire(100_000).is_empty());
    assert_eq!(takes_work(&book), [key(2)]);
}

/// A clock that went back between two starts must not leave a sound endpoint unused for good.
#[test]
fn an_earlier_start_is_believed_where_the_later_life_writes_nothing_any_more() {
    let mut book = book_of([ready(2, 4), ready(1, 5)]);
    assert!(book.expire(1_000).is_empty());
    assert!(book.expire(2_999).is_empty());
    assert_eq!(book.expire(3_000).adopted, [ready(1, 5)]);
    assert_eq!(takes_work(&book), [key(1)]);

    let mut book = book_of([ready(2, 4), ready(1, 5)]);
    assert!(book.expire(1_000).is_empty());
    book.apply(ready(2, 6), None);
    assert!(book.expire(9_000).is_empty(), "that one lives");
    assert_eq!(takes_work(&book), [key(2)]);
}

#[test]
fn an_endpoint_that_does_not_say_when_it_started_is_used() {
    let silent = EndpointRecord {
        born_ms: None,
        ..life(1, EndpointState::Ready)
    };
    let id = silent.key();
    assert_eq!(id, EndpointId::from_name("e"));
    let mut book = book_of([EndpointChange::Put(silent, at(3))]);
    assert_eq!(takes_work(&book), [id]);
    book.apply(ready(1, 4), None);
    assert_eq!(takes_work(&book), [key(1)], "it says so by now");
}

#[test]
fn what_a_box_of_an_earlier_version_tells_is_used() {
    let told = r#"{"since":null,"revision":{"era":0,"number":3},"endpoints":[{"record":{"id":"e","service":"x",
        "address":"10.0.0.1:80","domain":"a","slots":4,"state":"Ready","warmup_ms":0},"revision":{"era":0,"number":3},
        "doubt":null}],"removed":[],"sum":0}"#;
    let news: EndpointUpdate = serde_json::from_str(told).unwrap();
    let mut book = EndpointRegistry::default();
    book.merge(news, 1_000);
    assert_eq!(takes_work(&book), [EndpointId::from_name("e")]);
}

#[test]
fn a_record_that_somebody_else_overwrote_brings_no_work_until_its_endpoint_writes_again() {
    let mut book = book_of([ready(1, 3)]);
    book.note_sent(key(1), 1_000);
    assert!(book.apply(EndpointChange::Unusable("e".to_owned(), at(4)), None));
    assert_eq!((takes_work(&book), book.iter().count()), (Vec::new(), 1));
    assert!(!book.apply(ready(1, 3), None), "an older record");
    let mut told = EndpointRegistry::default();
    told.merge(book.update_since(StoreRevision::NONE, 1_000), 1_000);
    assert_eq!(
        (takes_work(&told), told.checksum()),
        (Vec::new(), book.checksum())
    );
    assert!(book.apply(ready(1, 5), None));
    assert_eq!(takes_work(&book), [key(1)]);
    assert_eq!(
        book.get(key(1)).unwrap().in_flight,
        1,
        "it is the same life"
    );
}

#[test]
fn a_record_that_no_endpoint_ever_wrote_names_none() {
    let mut book = book_of([EndpointChange::Unusable("e".to_owned(), at(4))]);
    assert_eq!(book.iter().count(), 0);
    assert!(
        !book.apply(ready(1, 3), None),
        "it was overwritten since then"
    );
    assert!(book.apply(ready(1, 5), None));
    book.replace(
        vec![EndpointChange::Unusable("e".to_owned(), at(6))],
        at(7),
        Some(3_000),
    );
    assert_eq!((takes_work(&book), book.iter().count()), (Vec::new(), 1));
}

/// One thing that happens to an endpoint, to its record, or to the boxes that know of it.
#[derive(Debug, Clone, Copy)]
enum LifeStep {
    /// It starts again and writes its record.
    Restart,
    /// It writes that it takes work, or that it leaves.
    Write(bool),
    /// A write of an earlier lifetime is carried out late.
    LateWrite(bool),
    /// Its record is overwritten by somebody else.
    Spoil,
    /// Its record is removed.
    Remove,
    /// A box hears of one change, in any order.
    Hear(usize, prop::sample::Index),
    /// A box learns what another one knows.
    Learn(usize, usize),
    /// A box sends a request to the endpoint that it believes in.
    Send(usize),
    /// The answer to one of them comes, or its failure.
    Answer(usize, prop::sample::Index),
}

const BOXES: usize = 4;

fn life_step() -> impl Strategy<Value = LifeStep> {
    let at = || 0..BOXES;
    prop_oneof![
        2 => Just(LifeStep::Restart),
        2 => any::<bool>().prop_map(LifeStep::Write),
        1 => any::<bool>().prop_map(LifeStep::LateWrite),
        1 => Just(LifeStep::Spoil),
        1 => Just(LifeStep::Remove),
        6 => (at(), any::<prop::sample::Index>()).prop_map(|(at, change)| LifeStep::Hear(at, change)),
        4 => (at(), at()).prop_map(|(from, to)| LifeStep::Learn(from, to)),
        3 => at().prop_map(LifeStep::Send),
        2 => (at(), any::<prop::sample::Index>()).prop_map(|(at, sent)| LifeStep::Answer(at, sent)),
    ]
}

fn learn(books: &mut [EndpointRegistry; BOXES], from: usize, to: usize) {
    let news = books[from].update_since(books[to].revision(), 0);
    if !books[to].merge(news, 0).agrees {
        let all = books[from].update_since(StoreRevision::NONE, 0);
        books[to].merge(all, 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Whatever comes to whom in whatever order: a box that knows of a lifetime never goes back to an earlier one,
    /// what it counts there is what it sent there itself, and all agree once they have heard of everything.
    #[test]
    fn no_box_goes_back_to_an_earlier_life(steps in prop::collection::vec(life_step(), 1..80)) {
        let mut books: [EndpointRegistry; BOXES] = Default::default();
        let mut history = vec![ready(1, 1)];
        let mut newest = [0_u64; BOXES];
        let mut sent: [Vec<EndpointId>; BOXES] = Default::default();
        let (mut number, mut revision) = (1, 1);
        for step in steps {
            revision += 1;
            match step {
                LifeStep::Restart => {
                    number += 1;
                    history.push(ready(number, revision));
                }
                LifeStep::Write(true) => history.push(ready(number, revision)),
                LifeStep::Write(false) => history.push(draining(number, revision)),
                LifeStep::LateWrite(_) if number == 1 => {}
                LifeStep::LateWrite(true) => history.push(ready(number - 1, revision)),
                LifeStep::LateWrite(false) => history.push(draining(number - 1, revision)),
                LifeStep::Spoil => history.push(EndpointChange::Unusable("e".to_owned(), at(revision))),
                LifeStep::Remove => history.push(EndpointChange::Removed("e".to_owned(), at(revision))),
                LifeStep::Hear(at, change) => {
                    books[at].apply(change.get(&history).clone(), None);
                }
                LifeStep::Learn(from, to) => learn(&mut books, from, to),
                LifeStep::Send(at) => {
                    let id = books[at].iter().next().map(|(id, _)| id);
                    if let Some(id) = id {
                        books[at].note_sent(id, 1_000);
                        sent[at].push(id);
                    }
                }
                LifeStep::Answer(at, one) if !sent[at].is_empty() => {
                    let id = sent[at].swap_remove(one.index(sent[at].len()));
                    books[at].note_sign(id, EndpointSign::Failed, 1_000);
                    books[at].note_request_ended(id);
                }
                LifeStep::Answer(..) => {}
            }
            for (at, book) in books.iter().enumerate() {
                prop_assert!(book.iter().count() <= 1, "one life of an id at a time");
                let Some((id, entry)) = book.iter().next() else {
                    // What was sent to one that is gone is counted nowhere.
                    sent[at].clear();
                    continue;
                };
                let born_ms = entry.record.born_ms.unwrap();
                prop_assert!(born_ms >= newest[at], "box {at} went back");
                newest[at] = born_ms;
                sent[at].retain(|sent| *sent == id);
                // One whose record went and came back in between is counted anew.
                prop_assert!(entry.in_flight as usize <= sent[at].len(), "of another life");
            }
        }
        // The endpoint goes on writing, and everybody hears of it in the end.
        history.push(ready(number, revision + 1));
        for book in &mut books {
            for change in history.iter().rev() {
                book.apply(change.clone(), None);
            }
            prop_assert_eq!(takes_work(book), vec![key(number)]);
        }
        prop_assert!(books.iter().all(|book| book.checksum() == books[0].checksum()));
    }
}
