//! The store comes back from older copies while boxes follow it, ask each other, and begin anew.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

const ENDPOINTS: usize = 3;
/// How long what is missing in an older copy is kept, in milliseconds.
const KEPT_MS: u64 = 1_600;
/// How long after the return of the store endpoints have written again, and records of those that have ended are gone,
/// in milliseconds.
const WRITTEN_MS: u64 = 1_200;
const GONE_MS: u64 = 3_600;
/// Within which time boxes in touch have heard of a change, in milliseconds.
const HEARD_MS: u64 = 400;

/// How an endpoint is in truth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct TrueEndpoint {
    born_ms: u64,
    /// None where it has ended.
    state: Option<EndpointState>,
}

/// The platform's store, and how endpoints are in truth.
#[derive(Debug, Clone)]
struct EraStore {
    era: u64,
    number: u64,
    items: BTreeMap<usize, (EndpointRecord, u64)>,
    removed: BTreeMap<usize, u64>,
}

impl EraStore {
    fn write(&mut self, at: usize, endpoint: TrueEndpoint) {
        self.number += 1;
        match endpoint.state {
            Some(state) => {
                let record = EndpointRecord {
                    id: format!("e{at}"),
                    born_ms: Some(endpoint.born_ms),
                    service: "x".to_owned(),
                    address: "10.0.0.1:80".parse().unwrap(),
                    domain: "a".to_owned(),
                    slots: 4,
                    state,
                    warmup_ms: 0,
                };
                self.items.insert(at, (record, self.number));
                self.removed.remove(&at);
            }
            None if self.items.remove(&at).is_some() => {
                self.removed.insert(at, self.number);
            }
            None => {}
        }
    }

    fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.number)
    }

    fn listing(&self) -> Vec<EndpointChange> {
        let items = self.items.values();
        let changes = items.map(|(record, number)| {
            EndpointChange::Put(record.clone(), StoreRevision::new(self.era, *number))
        });
        changes.collect()
    }

    /// Lists what changed after a revision of this era.
    fn changes(&self, since: u64) -> Vec<EndpointChange> {
        let written = self.listing().into_iter();
        let removed = self.removed.iter().map(|(at, number)| {
            let revision = StoreRevision::new(self.era, *number);
            EndpointChange::Removed(format!("e{at}"), revision)
        });
        let mut changes: Vec<EndpointChange> = written.chain(removed).collect();
        changes.retain(|change| change.revision().number > since);
        changes.sort_by_key(EndpointChange::revision);
        changes
    }
}

/// One box, and which lifetimes it knows to have left.
#[derive(Debug, Clone, Default)]
struct EraBox {
    book: EndpointRegistry,
    /// Up to which revision it has heard the store by itself.
    heard: Option<StoreRevision>,
    left: BTreeSet<EndpointId>,
}

impl EraBox {
    /// Hears the store: what changed, or all of it where it is of another era.
    fn hear(&mut self, store: &EraStore, now_ms: u64) {
        match self.heard {
            Some(heard) if heard.era == store.era => {
                for change in store.changes(heard.number) {
                    self.book.apply(change, None);
                }
                self.book.advance(store.revision());
            }
            before => {
                let kept_until_ms = before.map(|_| now_ms + KEPT_MS);
                self.book
                    .replace(store.listing(), store.revision(), kept_until_ms);
            }
        }
        self.heard = Some(store.revision());
    }

    fn note_left(&mut self) {
        let draining = self
            .book
            .iter()
            .filter(|(_, entry)| entry.record.state == EndpointState::Draining);
        let draining: Vec<EndpointId> = draining.map(|(id, _)| id).collect();
        self.left.extend(draining);
    }

    fn ready(&self) -> BTreeSet<EndpointId> {
        self.book.ready("x").iter().map(|ready| ready.id).collect()
    }
}

#[derive(Debug, Clone, Copy)]
enum EraStep {
    Begin(usize),
    Drain(usize),
    End(usize),
    Copy,
    /// From which of the copies, counted from the newest.
    Return(usize),
    WriteAgain(usize),
    Hear(usize),
    Tell(usize, usize),
    /// What a box told before comes late.
    TellLate(usize, usize),
    Restart(usize),
    Wait(u64),
}

fn step(boxes: usize) -> impl Strategy<Value = EraStep> {
    prop_oneof![
        2 => (0..ENDPOINTS).prop_map(EraStep::Begin),
        2 => (0..ENDPOINTS).prop_map(EraStep::Drain),
        2 => (0..ENDPOINTS).prop_map(EraStep::End),
        2 => Just(EraStep::Copy),
        2 => (0..4_usize).prop_map(EraStep::Return),
        3 => (0..ENDPOINTS).prop_map(EraStep::WriteAgain),
        6 => (0..boxes).prop_map(EraStep::Hear),
        6 => (0..boxes, 0..boxes).prop_map(|(from, to)| EraStep::Tell(from, to)),
        2 => (0..boxes, 0..boxes).prop_map(|(from, to)| EraStep::TellLate(from, to)),
        1 => (0..boxes).prop_map(EraStep::Restart),
        2 => (1..3_000_u64).prop_map(EraStep::Wait),
    ]
}

/// Lets one box ask another, as boxes do.
fn tell(boxes: &mut [EraBox], from: usize, to: usize, now_ms: u64) {
    let known = boxes[to].book.revision();
    if from == to || boxes[from].book.revision() <= known {
        return;
    }
    let news = boxes[from].book.update_since(known, now_ms);
    if !boxes[to].book.merge(news, now_ms).agrees {
        let all = boxes[from].book.update_since(StoreRevision::NONE, now_ms);
        boxes[to].book.merge(all, now_ms);
    }
}

/// Lets boxes that follow the store hear it, and each ask the one before it.
fn keep_in_touch(boxes: &mut [EraBox], store: &EraStore, now_ms: u64) {
    for known in boxes.iter_mut().filter(|known| known.heard.is_some()) {
        known.hear(store, now_ms);
    }
    for to in 1..boxes.len() {
        tell(boxes, to - 1, to, now_ms);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Whatever is lost and told late, no box sends anything to a lifetime of which it knew that it leaves; and once
    /// endpoints have written again, all boxes use those that are ready, and no other ones.
    #[test]
    fn boxes_agree_with_a_store_that_comes_back_from_older_copies(
        count in 1_usize..7,
        steps in prop::collection::vec(step(6), 1..80),
    ) {
        let mut boxes = vec![EraBox::default(); count];
        let mut truth = [TrueEndpoint { born_ms: 1, state: Some(EndpointState::Ready) }; ENDPOINTS];
        let mut store = EraStore {
            era: 1,
            number: 0,
            items: BTreeMap::new(),
            removed: BTreeMap::new(),
        };
        (0..ENDPOINTS).for_each(|at| store.write(at, truth[at]));
        let mut copies = vec![store.clone()];
        let mut late: Vec<EndpointUpdate> = Vec::new();
        let (mut now_ms, mut born_ms, mut returned_ms) = (1_000, 1, 1_000);
        for step in steps {
            match step {
                EraStep::Begin(at) => {
                    born_ms += 1;
                    truth[at] = TrueEndpoint { born_ms, state: Some(EndpointState::Ready) };
                    store.write(at, truth[at]);
                }
                EraStep::Drain(at) if truth[at].state.is_some() => {
                    truth[at].state = Some(EndpointState::Draining);
                    store.write(at, truth[at]);
                }
                EraStep::Drain(_) => {}
                EraStep::End(at) => {
                    truth[at].state = None;
                    store.write(at, truth[at]);
                }
                EraStep::Copy => copies.push(store.clone()),
                EraStep::Return(back) => {
                    let copy = &copies[copies.len().saturating_sub(back + 1)];
                    store = EraStore { era: store.era + 1, ..copy.clone() };
                    returned_ms = now_ms;
                }
                EraStep::WriteAgain(at) => store.write(at, truth[at]),
                EraStep::Hear(at) => boxes[at % count].hear(&store, now_ms),
                EraStep::Tell(from, to) => {
                    let (from, to) = (from % count, to % count);
                    late.push(boxes[from].book.update_since(StoreRevision::NONE, now_ms));
                    tell(&mut boxes, from, to, now_ms);
                }
                EraStep::TellLate(from, to) if !late.is_empty() => {
                    let news = late[from % late.len()].clone();
                    boxes[to % count].book.merge(news, now_ms);
                }
                EraStep::TellLate(..) => {}
                EraStep::Restart(at) => boxes[at % count] = EraBox::default(),
                EraStep::Wait(ms) => {
                    let end_ms = now_ms + ms;
                    while now_ms < end_ms {
                        now_ms = end_ms.min(now_ms + HEARD_MS);
                        for (at, endpoint) in truth.iter().enumerate() {
                            let due_ms = match endpoint.state {
                                Some(_) => WRITTEN_MS,
                                None => GONE_MS,
                            };
                            if now_ms >= returned_ms + due_ms {
                                store.write(at, *endpoint);
                            }
                        }
                        keep_in_touch(&mut boxes, &store, now_ms);
                        boxes.iter_mut().for_each(|known| drop(known.book.expire(now_ms)));
                    }
                }
            }
            for known in &mut boxes {
                known.book.expire(now_ms);
                known.note_left();
                let ready = known.ready();
                prop_assert!(ready.is_disjoint(&known.left), "{step:?}");
            }
        }
        // Endpoints write again, records of those that have ended lapse, and boxes hear of it in turns.
        (0..ENDPOINTS).for_each(|at| store.write(at, truth[at]));
        for _ in 0..6 {
            now_ms += KEPT_MS;
            boxes[0].hear(&store, now_ms);
            keep_in_touch(&mut boxes, &store, now_ms);
            boxes.iter_mut().for_each(|known| drop(known.book.expire(now_ms)));
        }
        let ready = truth.iter().enumerate().filter(|(_, endpoint)| {
            endpoint.state == Some(EndpointState::Ready)
        });
        let ready: BTreeSet<EndpointId> = ready
            .map(|(at, endpoint)| EndpointId::of_life(&format!("e{at}"), Some(endpoint.born_ms)))
            .collect();
        for (at, known) in boxes.iter().enumerate() {
            prop_assert_eq!(&known.ready(), &ready, "box {}", at);
        }
    }
}
