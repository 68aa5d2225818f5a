use super::*;
use proptest::prelude::*;

/// Names a revision of a store that names no era.
const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

fn record(id: &str, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        born_ms: None,
        service: "x".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 4,
        state,
        warmup_ms: 0,
    }
}

fn put(id: &str, revision: u64) -> EndpointChange {
    EndpointChange::Put(record(id, EndpointState::Ready), at(revision))
}

#[test]
fn an_older_record_never_replaces_a_newer_one() {
    let mut book = EndpointRegistry::default();
    assert!(book.apply(
        EndpointChange::Put(record("e", EndpointState::Draining), at(9)),
        None
    ));
    assert!(!book.apply(put("e", 8), None));
    assert_eq!(book.ready("x").len(), 0);
}

#[test]
fn a_removed_endpoint_is_not_brought_back_by_a_late_record() {
    let mut book = EndpointRegistry::default();
    book.apply(put("e", 3), None);
    assert!(book.apply(EndpointChange::Removed("e".to_owned(), at(5)), None));
    assert!(!book.apply(put("e", 4), None));
    assert!(book.apply(put("e", 6), None));
}

#[test]
fn a_record_that_lapsed_while_the_store_was_away_is_kept_for_a_moment() {
    let mut book = EndpointRegistry::default();
    book.apply(put("back", 3), None);
    book.apply(put("gone", 3), None);
    book.replace(Vec::new(), at(10), Some(2_000));
    assert_eq!(book.ready("x").len(), 2);
    book.apply(put("back", 11), None);
    assert!(book.expire(1_999).is_empty());
    assert_eq!(book.expire(2_000).lapsed, ["gone"]);
    assert_eq!(book.ready("x").len(), 1);
}

#[test]
fn an_endpoint_that_was_draining_is_gone_at_once() {
    let mut book = EndpointRegistry::default();
    book.apply(
        EndpointChange::Put(record("e", EndpointState::Draining), at(3)),
        None,
    );
    book.replace(Vec::new(), at(10), Some(2_000));
    assert_eq!(book.iter().count(), 0);
}

proptest! {
    /// Whatever the order in which changes of one endpoint arrive, the newest decides.
    #[test]
    fn the_newest_change_decides(order in Just((1_u64..9).collect::<Vec<_>>()).prop_shuffle()) {
        let mut book = EndpointRegistry::default();
        let id = EndpointId::from_name("e");
        for revision in &order {
            let change = match revision % 4 {
                0 => EndpointChange::Removed("e".to_owned(), at(*revision)),
                _ => put("e", *revision),
            };
            book.apply(change, None);
        }
        prop_assert!(book.get(id).is_none(), "revision 8 removed it");
    }
}

proptest! {
    /// What is looked up for requests is what stands in the records, whatever came and went.
    #[test]
    fn what_takes_work_is_what_the_records_say(
        changes in prop::collection::vec((0_usize..4, 0_u8..4, 0_u64..9, 1_u64..20), 1..60),
    ) {
        let mut book = EndpointRegistry::default();
        for (name, kind, kept, revision) in changes {
            let id = ["e", "f", "g", "h"][name];
            let kept_until_ms = (kept > 5).then_some(kept * 100);
            match kind {
                0 => drop(book.apply(EndpointChange::Removed(id.to_owned(), at(revision)), kept_until_ms)),
                1 => {
                    let draining = record(id, EndpointState::Draining);
                    book.apply(EndpointChange::Put(draining, at(revision)), kept_until_ms);
                }
                2 => {
                    let listed = vec![put(id, revision)];
                    book.replace(listed, at(revision), kept_until_ms);
                }
                _ => drop(book.apply(put(id, revision), kept_until_ms)),
            }
            book.expire(revision * 40);
            let ready: Vec<EndpointId> = book.ready("x").iter().map(|ready| ready.id).collect();
            let entries = book.iter();
            let entries = entries.filter(|(_, entry)| entry.record.state == EndpointState::Ready);
            let stands: Vec<EndpointId> = entries.map(|(id, _)| id).collect();
            prop_assert_eq!(ready, stands);
        }
    }
}

#[test]
fn a_domain_that_is_cut_off_gets_nothing_until_one_of_its_endpoints_answers() {
    let mut book = EndpointRegistry::default();
    for (revision, id) in ["e", "f", "g"].into_iter().enumerate() {
        book.apply(put(id, revision as u64 + 1), None);
    }
    let [e, f, g] = ["e", "f", "g"].map(EndpointId::from_name);
    book.note_sign(e, EndpointSign::Silent, 1_000);
    assert_eq!(
        book.eligible("x", 1_000).count(),
        2,
        "one alone may be down"
    );
    book.note_sign(f, EndpointSign::Unreachable, 1_000);
    book.note_sign(f, EndpointSign::Silent, 1_000);
    assert_eq!(
        book.eligible("x", 1_000).count(),
        1,
        "what refuses has answered"
    );
    book.note_reach(e, false);
    assert_eq!(book.eligible("x", 1_000).count(), 0);
    assert_eq!(book.ready("x").len(), 3, "the last resort");
    book.note_reach(g, true);
    let open: Vec<EndpointId> = book.eligible("x", 60_000).map(|(id, _)| id).collect();
    assert_eq!(open.len(), 3, "those that were silent are tried again");
}

#[test]
fn a_record_that_has_lapsed_at_another_box_is_given_up_here_as_well() {
    let mut follower = EndpointRegistry::default();
    follower.apply(put("e", 3), None);
    follower.apply(EndpointChange::Removed("e".to_owned(), at(5)), Some(2_600));
    let news = follower.update_since(StoreRevision::NONE, 1_000);
    let doubt = UnconfirmedRecord {
        revision: at(5),
        lapses_in_ms: 1_600,
    };
    let first = &news.endpoints[0];
    assert_eq!((first.revision, first.doubt), (at(3), Some(doubt)));

    let mut told = EndpointRegistry::default();
    told.apply(put("e", 3), None);
    told.merge(news, 1_010);
    assert!(told.expire(2_600).is_empty());
    assert_eq!(told.expire(2_610).lapsed, ["e"]);
    assert_eq!(told.ready("x").len(), 0);
}

/// Engines got prompts 4.4 s after they had left. Two failure domains had heard from the store that the
/// engine's record was gone. The third was cut off just then; its boxes listed the store again 3 s
/// later, missed the record, and kept it for two seconds more, as records that lapsed in an outage may
/// come back. They told it on as newer than the removal, and dozens of boxes that had known better
/// took it back: their logs had it gone twice, first by the store, then as lapsed.
#[test]
fn what_one_box_holds_in_doubt_undoes_nothing_that_is_certain_at_another() {
    let mut doubting = EndpointRegistry::default();
    doubting.apply(put("gone", 3), None);
    doubting.apply(put("back", 4), None);
    let mut certain = doubting.clone();
    certain.apply(EndpointChange::Removed("gone".to_owned(), at(5)), None);
    certain.apply(
        EndpointChange::Removed("back".to_owned(), at(6)),
        Some(2_600),
    );
    doubting.replace(Vec::new(), at(7), Some(2_600));
    certain.apply(put("back", 8), None);

    certain.merge(doubting.update_since(StoreRevision::NONE, 1_000), 1_000);
    let known: Vec<&str> = certain.iter().map(|(_, entry)| &*entry.record.id).collect();
    assert_eq!(known, ["back"], "what was removed stays so");
    assert!(certain.expire(9_000).is_empty(), "what was written stays");
    doubting.merge(certain.update_since(StoreRevision::NONE, 1_100), 1_100);
    let known: Vec<&str> = doubting
        .iter()
        .map(|(_, entry)| &*entry.record.id)
        .collect();
    assert_eq!(known, ["back"], "who knows better ends the doubt");
}

/// One thing that happens to a store's record and to the boxes that know of it.
#[derive(Debug, Clone, Copy)]
enum BookStep {
    /// The endpoint writes its record anew.
    Write,
    /// Its record is removed.
    Remove,
    /// A box hears of all changes that it lacks.
    Watch(usize),
    /// A box lists the store after an outage: what it misses may have lapsed.
    ListInDoubt(usize),
    /// A box learns what another one knows.
    Learn(usize, usize),
    /// What is in doubt is given up where its time is over.
    Expire(u64),
}

fn book_step() -> impl Strategy<Value = BookStep> {
    prop_oneof![
        Just(BookStep::Write),
        Just(BookStep::Remove),
        (0_usize..3).prop_map(BookStep::Watch),
        (0_usize..3).prop_map(BookStep::ListInDoubt),
        (0_usize..3, 0_usize..3).prop_map(|(from, to)| BookStep::Learn(from, to)),
        (0_u64..1_500).prop_map(BookStep::Expire),
    ]
}

proptest! {
    /// Whatever boxes miss, keep in doubt and tell each other: one that has heard from the store that an
    /// endpoint is gone does not take it back before it is written again, and one that has heard it
    /// written does not lose it to another one's doubt.
    #[test]
    fn what_is_heard_from_the_store_is_undone_by_the_store_alone(
        steps in prop::collection::vec(book_step(), 1..60),
    ) {
        let mut history = vec![put("e", 1)];
        let mut books = [EndpointRegistry::default(), EndpointRegistry::default(), EndpointRegistry::default()];
        let mut heard = [0_usize; 3];
        let (mut revision, mut now) = (1, 1_000);
        let id = EndpointId::from_name("e");
        for step in steps {
            revision += 1;
            match step {
                BookStep::Write => history.push(put("e", revision)),
                BookStep::Remove => history.push(EndpointChange::Removed("e".to_owned(), at(revision))),
                BookStep::Watch(at) => {
                    for change in &history[heard[at]..] {
                        books[at].apply(change.clone(), None);
                    }
                    heard[at] = history.len();
                }
                BookStep::ListInDoubt(index) => {
                    let listed = match history.last() {
                        Some(EndpointChange::Removed(..)) | None => Vec::new(),
                        Some(written) => vec![written.clone()],
                    };
                    books[index].replace(listed, at(revision), Some(now + 2_000));
                }
                BookStep::Learn(from, to) => {
                    let known = books[to].revision();
                    if books[from].revision() > known {
                        let news = books[from].update_since(known, now);
                        if !books[to].merge(news, now).agrees {
                            let all = books[from].update_since(StoreRevision::NONE, now);
                            books[to].merge(all, now);
                        }
                    }
                }
                BookStep::Expire(after) => {
                    now += after;
                    books.iter_mut().for_each(|book| drop(book.expire(now)));
                }
            }
            for (book, heard) in books.iter().zip(heard) {
                let last = heard.checked_sub(1).map(|last| &history[last]);
                let later = history.len() > heard;
                match last {
                    Some(EndpointChange::Removed(..)) if !later => prop_assert!(book.get(id).is_none()),
                    Some(EndpointChange::Put(..)) if !later => prop_assert!(book.get(id).is_some()),
                    _ => {}
                }
            }
        }
    }
}

/// Before: 600 KB to each box for each change at 3,000 endpoints.
#[test]
fn only_what_changed_is_told_to_a_box_that_knows_the_rest() {
    let mut teller = EndpointRegistry::default();
    for number in 0..300 {
        teller.apply(put(&format!("e{number}"), number + 1), None);
    }
    let mut asker = EndpointRegistry::default();
    let all = teller.update_since(asker.revision(), 1_000);
    assert_eq!((all.since, all.endpoints.len()), (None, 300));
    assert!(asker.merge(all, 1_000).agrees);

    teller.apply(EndpointChange::Removed("e7".to_owned(), at(301)), None);
    let draining = record("e8", EndpointState::Draining);
    teller.apply(EndpointChange::Put(draining, at(302)), None);
    let news = teller.update_since(asker.revision(), 1_000);
    assert_eq!((news.endpoints.len(), news.removed.len()), (1, 1));
    let learned = asker.merge(news, 1_000);
    assert_eq!((learned.changes.len(), learned.agrees), (2, true));
    assert_eq!(asker.checksum(), teller.checksum());
}

/// A box that took in a whole list knows nothing of what was removed before.
#[test]
fn a_box_that_does_not_know_what_was_removed_tells_all() {
    let mut teller = EndpointRegistry::default();
    teller.replace(vec![put("e", 4)], at(9), None);
    teller.apply(put("f", 10), None);
    assert_eq!(teller.update_since(at(8), 1_000).since, None);
    assert_eq!(teller.update_since(at(9), 1_000).since, Some(at(9)));
}

/// A box that missed a removal and knows the newest revision all the same finds it out by the sum.
#[test]
fn a_box_that_missed_something_is_told_all() {
    let mut teller = EndpointRegistry::default();
    let mut asker = EndpointRegistry::default();
    for book in [&mut teller, &mut asker] {
        book.apply(put("e", 1), None);
        book.apply(put("f", 2), None);
    }
    teller.apply(EndpointChange::Removed("e".to_owned(), at(3)), None);
    asker.advance(at(3));
    teller.apply(put("f", 4), None);
    assert!(!asker.merge(teller.update_since(at(3), 1_000), 1_000).agrees);
    assert!(
        asker
            .merge(teller.update_since(StoreRevision::NONE, 1_000), 1_000)
            .agrees
    );
    assert_eq!(asker.checksum(), teller.checksum());
}

proptest! {
    /// Whatever changes come to the boxes of a chain, by watches, lists and each other: who has asked the
    /// one that knows all, by changes or by all of it, knows the same.
    #[test]
    fn news_makes_two_boxes_agree(
        steps in prop::collection::vec((0_usize..6, 0_usize..5, any::<bool>()), 1..80),
    ) {
        let names = ["e", "f", "g", "h", "i"];
        let mut store: BTreeMap<&str, u64> = BTreeMap::new();
        let mut books = [EndpointRegistry::default(), EndpointRegistry::default(), EndpointRegistry::default()];
        let mut revision = 0;
        let ask = |books: &mut [EndpointRegistry; 3], from: usize, to: usize| {
            let known = books[to].revision();
            if books[from].revision() > known {
                let news = books[from].update_since(known, 0);
                if !books[to].merge(news, 0).agrees {
                    let all = books[from].update_since(StoreRevision::NONE, 0);
                    books[to].merge(all, 0);
                }
            }
        };
        for (what, name, is_put) in steps {
            let name = names[name];
            match what {
                0..=2 => {
                    revision += 1;
                    let change = match is_put {
                        true => {
                            store.insert(name, revision);
                            put(name, revision)
                        }
                        false => {
                            store.remove(name);
                            EndpointChange::Removed(name.to_owned(), at(revision))
                        }
                    };
                    books[0].apply(change, None);
                }
                3 => {
                    let listed = store.iter();
                    let listed = listed.map(|(name, at)| put(name, *at));
                    books[1].replace(listed.collect(), at(revision), None);
                }
                4 => ask(&mut books, 0, 1),
                _ => ask(&mut books, 1, 2),
            }
        }
        revision += 1;
        books[0].apply(put("last", revision), None);
        ask(&mut books, 0, 1);
        ask(&mut books, 1, 2);
        prop_assert_eq!(books[1].checksum(), books[0].checksum());
        prop_assert_eq!(books[2].checksum(), books[0].checksum());
    }
}
