//! Simulation of a store that is restored from older copies while boxes follow it and update each
//! other.

use super::*;
use proptest::prelude::*;
use std::collections::BTreeSet;

const ENDPOINTS: usize = 3;
/// How long an endpoint that is missing from an older copy is kept, in milliseconds.
const KEPT_MS: u64 = 1_600;
/// The time after a restore until endpoints have rewritten their records, in milliseconds.
const REWRITE_MS: u64 = 1_200;
/// The time after a restore until the records of ended endpoints have expired, in milliseconds.
const EXPIRY_MS: u64 = 3_600;
/// The interval at which connected boxes receive changes, in milliseconds.
const SYNC_MS: u64 = 400;

/// The actual state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct ActualEndpoint {
    started_ms: u64,
    /// `None` if it has ended.
    state: Option<EndpointState>,
}

/// The platform's store.
#[derive(Debug, Clone)]
struct EraStore {
    era: u64,
    number: u64,
    items: BTreeMap<usize, (EndpointRecord, u64)>,
    removed: BTreeMap<usize, u64>,
}

impl EraStore {
    fn write(&mut self, at: usize, endpoint: ActualEndpoint) {
        self.number += 1;
        match endpoint.state {
            Some(state) => {
                let record = EndpointRecord {
                    id: format!("e{at}"),
                    started_ms: Some(endpoint.started_ms),
                    service: "x".to_owned(),
                    address: "10.0.0.1:80".parse().unwrap(),
                    domain: "a".to_owned(),
                    slots: 4,
                    state,
                    warmup_ms: 0,
                    version: "v1".to_owned(),
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

    /// Returns the changes after a revision of this era.
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

/// A box and the lifetimes that it knows to be draining or to have drained.
#[derive(Debug, Clone, Default)]
struct EraBox {
    registry: EndpointRegistry,
    /// The revision up to which it has read the store itself.
    read_up_to: Option<StoreRevision>,
    drained: BTreeSet<EndpointId>,
}

impl EraBox {
    /// Reads the changes of the store, or a full list if its era is new.
    fn read(&mut self, store: &EraStore, now_ms: u64) {
        match self.read_up_to {
            Some(read_up_to) if read_up_to.era == store.era => {
                for change in store.changes(read_up_to.number) {
                    self.registry.apply(change, None);
                }
                self.registry.advance(store.revision());
            }
            before => {
                let kept_until_ms = before.map(|_| now_ms + KEPT_MS);
                self.registry
                    .replace(store.listing(), store.revision(), kept_until_ms);
            }
        }
        self.read_up_to = Some(store.revision());
    }

    fn note_draining(&mut self) {
        let draining = self
            .registry
            .iter()
            .filter(|(_, entry)| entry.record.state == EndpointState::Draining);
        let draining: Vec<EndpointId> = draining.map(|(id, _)| id).collect();
        self.drained.extend(draining);
    }

    fn ready(&self) -> BTreeSet<EndpointId> {
        self.registry
            .ready("x")
            .iter()
            .map(|ready| ready.id)
            .collect()
    }
}

#[derive(Debug, Clone, Copy)]
enum EraStep {
    Start(usize),
    Drain(usize),
    End(usize),
    Copy,
    /// Restores the store from a copy, counted from the newest.
    Restore(usize),
    Rewrite(usize),
    Read(usize),
    Update(usize, usize),
    /// An earlier update of a box arrives late.
    UpdateLate(usize, usize),
    Restart(usize),
    Wait(u64),
}

fn step(boxes: usize) -> impl Strategy<Value = EraStep> {
    prop_oneof![
        2 => (0..ENDPOINTS).prop_map(EraStep::Start),
        2 => (0..ENDPOINTS).prop_map(EraStep::Drain),
        2 => (0..ENDPOINTS).prop_map(EraStep::End),
        2 => Just(EraStep::Copy),
        2 => (0..4_usize).prop_map(EraStep::Restore),
        3 => (0..ENDPOINTS).prop_map(EraStep::Rewrite),
        6 => (0..boxes).prop_map(EraStep::Read),
        6 => (0..boxes, 0..boxes).prop_map(|(from, to)| EraStep::Update(from, to)),
        2 => (0..boxes, 0..boxes).prop_map(|(from, to)| EraStep::UpdateLate(from, to)),
        1 => (0..boxes).prop_map(EraStep::Restart),
        2 => (1..3_000_u64).prop_map(EraStep::Wait),
    ]
}

/// Updates one box from another.
fn update_box(boxes: &mut [EraBox], from: usize, to: usize, now_ms: u64) {
    let known = boxes[to].registry.revision();
    if from == to || boxes[from].registry.revision() <= known {
        return;
    }
    let update = boxes[from].registry.update_since(known, now_ms);
    if !boxes[to].registry.merge(update, now_ms).agrees {
        let all = boxes[from]
            .registry
            .update_since(StoreRevision::NONE, now_ms);
        boxes[to].registry.merge(all, now_ms);
    }
}

/// Lets the boxes that follow the store read it, and each box update from the previous one.
fn sync_boxes(boxes: &mut [EraBox], store: &EraStore, now_ms: u64) {
    for era_box in boxes
        .iter_mut()
        .filter(|era_box| era_box.read_up_to.is_some())
    {
        era_box.read(store, now_ms);
    }
    for to in 1..boxes.len() {
        update_box(boxes, to - 1, to, now_ms);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    /// Guards against boxes that use a lifetime known to drain, and against boxes that differ from
    /// the store once endpoints have rewritten their records.
    #[test]
    fn boxes_agree_with_a_store_restored_from_older_copies(
        count in 1_usize..7,
        steps in prop::collection::vec(step(6), 1..80),
    ) {
        let mut boxes = vec![EraBox::default(); count];
        let mut actual = [
            ActualEndpoint { started_ms: 1, state: Some(EndpointState::Ready) };
            ENDPOINTS
        ];
        let mut store = EraStore {
            era: 1,
            number: 0,
            items: BTreeMap::new(),
            removed: BTreeMap::new(),
        };
        (0..ENDPOINTS).for_each(|at| store.write(at, actual[at]));
        let mut copies = vec![store.clone()];
        let mut late: Vec<EndpointUpdate> = Vec::new();
        let (mut now_ms, mut started_ms, mut restored_ms) = (1_000, 1, 1_000);
        for step in steps {
            match step {
                EraStep::Start(at) => {
                    started_ms += 1;
                    actual[at] = ActualEndpoint { started_ms, state: Some(EndpointState::Ready) };
                    store.write(at, actual[at]);
                }
                EraStep::Drain(at) if actual[at].state.is_some() => {
                    actual[at].state = Some(EndpointState::Draining);
                    store.write(at, actual[at]);
                }
                EraStep::Drain(_) => {}
                EraStep::End(at) => {
                    actual[at].state = None;
                    store.write(at, actual[at]);
                }
                EraStep::Copy => copies.push(store.clone()),
                EraStep::Restore(back) => {
                    let copy = &copies[copies.len().saturating_sub(back + 1)];
                    store = EraStore { era: store.era + 1, ..copy.clone() };
                    restored_ms = now_ms;
                }
                EraStep::Rewrite(at) => store.write(at, actual[at]),
                EraStep::Read(at) => boxes[at % count].read(&store, now_ms),
                EraStep::Update(from, to) => {
                    let (from, to) = (from % count, to % count);
                    late.push(boxes[from].registry.update_since(StoreRevision::NONE, now_ms));
                    update_box(&mut boxes, from, to, now_ms);
                }
                EraStep::UpdateLate(from, to) if !late.is_empty() => {
                    let update = late[from % late.len()].clone();
                    boxes[to % count].registry.merge(update, now_ms);
                }
                EraStep::UpdateLate(..) => {}
                EraStep::Restart(at) => boxes[at % count] = EraBox::default(),
                EraStep::Wait(ms) => {
                    let end_ms = now_ms + ms;
                    while now_ms < end_ms {
                        now_ms = end_ms.min(now_ms + SYNC_MS);
                        for (at, endpoint) in actual.iter().enumerate() {
                            let due_ms = match endpoint.state {
                                Some(_) => REWRITE_MS,
                                None => EXPIRY_MS,
                            };
                            if now_ms >= restored_ms + due_ms {
                                store.write(at, *endpoint);
                            }
                        }
                        sync_boxes(&mut boxes, &store, now_ms);
                        boxes.iter_mut().for_each(|era_box| drop(era_box.registry.expire(now_ms)));
                    }
                }
            }
            for era_box in &mut boxes {
                era_box.registry.expire(now_ms);
                era_box.note_draining();
                let ready = era_box.ready();
                prop_assert!(ready.is_disjoint(&era_box.drained), "{step:?}");
            }
        }
        // Endpoints rewrite their records, those of ended ones expire, and boxes receive the
        // changes.
        (0..ENDPOINTS).for_each(|at| store.write(at, actual[at]));
        for _ in 0..6 {
            now_ms += KEPT_MS;
            boxes[0].read(&store, now_ms);
            sync_boxes(&mut boxes, &store, now_ms);
            boxes.iter_mut().for_each(|era_box| drop(era_box.registry.expire(now_ms)));
        }
        let ready = actual.iter().enumerate().filter(|(_, endpoint)| {
            endpoint.state == Some(EndpointState::Ready)
        });
        let ready: BTreeSet<EndpointId> = ready
            .map(|(at, endpoint)| EndpointId::of_lifetime(&format!("e{at}"), Some(endpoint.started_ms)))
            .collect();
        for (at, era_box) in boxes.iter().enumerate() {
            prop_assert_eq!(&era_box.ready(), &ready, "box {}", at);
        }
    }
}
