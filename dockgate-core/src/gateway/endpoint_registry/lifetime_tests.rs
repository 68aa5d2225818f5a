//! Tests of endpoints that restart under their id.

use super::*;
use proptest::prelude::*;

const FIRST_START_MS: u64 = 1_000_000;

/// Creates a revision of a store that reports no era.
const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

/// Creates the record of a lifetime; later lifetimes have higher numbers.
fn lifetime(number: u64, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: "e".to_owned(),
        started_ms: Some(FIRST_START_MS + number * 5_000),
        service: "x".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 4,
        state,
        warmup_ms: 0,
        version: "v1".to_owned(),
    }
}

fn ready(number: u64, revision: u64) -> EndpointChange {
    EndpointChange::Put(lifetime(number, EndpointState::Ready), at(revision))
}

fn draining(number: u64, revision: u64) -> EndpointChange {
    EndpointChange::Put(lifetime(number, EndpointState::Draining), at(revision))
}

fn key(number: u64) -> EndpointId {
    lifetime(number, EndpointState::Ready).key()
}

fn registry_of(changes: impl IntoIterator<Item = EndpointChange>) -> EndpointRegistry {
    let mut registry = EndpointRegistry::default();
    for change in changes {
        registry.apply(change, None);
    }
    registry
}

fn ready_ids(registry: &EndpointRegistry) -> Vec<EndpointId> {
    registry.ready("x").iter().map(|ready| ready.id).collect()
}

#[test]
fn health_and_requests_are_not_inherited_by_the_next_lifetime() {
    let mut registry = registry_of([ready(1, 3)]);
    registry.note_sent(key(1), 1_000);
    for _ in 0..6 {
        registry.note_outcome(key(1), EndpointOutcome::Failed, 1_000);
    }
    assert_eq!(registry.eligible("x", 1_001).count(), 0, "it backs off");
    assert!(registry.apply(ready(2, 4), None));
    let entry = registry.get(key(2)).unwrap();
    assert_eq!(entry.in_flight, 0);
    assert!(!entry.health.is_unreliable(1_001));
    assert_eq!(
        registry.eligible("x", 1_001).count(),
        1,
        "it has never failed"
    );
    assert_eq!(
        (ready_ids(&registry), registry.iter().count()),
        (vec![key(2)], 1)
    );
}

#[test]
fn late_events_of_an_earlier_lifetime_are_ignored() {
    let mut registry = registry_of([ready(1, 3), ready(2, 4)]);
    registry.note_sent(key(2), 1_000);
    registry.note_request_ended(key(1));
    registry.note_outcome(key(1), EndpointOutcome::Failed, 1_000);
    for late in [draining(1, 2), ready(1, 5), draining(1, 6)] {
        assert!(!registry.apply(late, None));
    }
    assert!(!registry.apply(EndpointChange::Removed("e".to_owned(), at(3)), None));
    let entry = registry.get(key(2)).unwrap();
    assert_eq!((entry.in_flight, entry.revision), (1, at(4)));
    assert_eq!(ready_ids(&registry), [key(2)]);
}

#[test]
fn draining_lifetime_does_not_affect_the_next_one() {
    let registry = registry_of([draining(1, 3), ready(2, 4)]);
    assert_eq!(ready_ids(&registry), [key(2)]);
    let reversed = registry_of([ready(2, 4), draining(1, 3)]);
    assert_eq!(ready_ids(&reversed), [key(2)]);
}

#[test]
fn record_older_than_the_drain_or_removal_is_ignored() {
    let registry = registry_of([draining(2, 5), ready(2, 4)]);
    assert_eq!(ready_ids(&registry), []);
    let removed = EndpointChange::Removed("e".to_owned(), at(6));
    let registry = registry_of([ready(1, 3), ready(2, 4), removed, ready(2, 5)]);
    assert_eq!(ready_ids(&registry), []);
}

#[test]
fn older_revision_does_not_start_a_lifetime() {
    let registry = registry_of([ready(2, 9), ready(1, 4), draining(2, 8)]);
    assert_eq!(ready_ids(&registry), [key(2)]);
}

#[test]
fn late_write_of_a_removed_lifetime_is_not_used() {
    let removed = EndpointChange::Removed("e".to_owned(), at(5));
    let mut registry = registry_of([ready(1, 3), ready(2, 4), removed, ready(1, 6)]);
    assert_eq!(ready_ids(&registry), []);
    assert!(registry.apply(ready(2, 7), None), "it rewrites its record");
    assert!(registry.expire(100_000).is_empty());
    assert_eq!(ready_ids(&registry), [key(2)]);
}

/// A clock that went back between two starts must not leave a healthy endpoint unused.
#[test]
fn earlier_lifetime_is_adopted_if_the_later_one_stops_renewing() {
    let mut registry = registry_of([ready(2, 4), ready(1, 5)]);
    assert!(registry.expire(1_000).is_empty());
    assert!(registry.expire(2_999).is_empty());
    assert_eq!(registry.expire(3_000).adopted, [ready(1, 5)]);
    assert_eq!(ready_ids(&registry), [key(1)]);

    let mut registry = registry_of([ready(2, 4), ready(1, 5)]);
    assert!(registry.expire(1_000).is_empty());
    registry.apply(ready(2, 6), None);
    assert!(
        registry.expire(9_000).is_empty(),
        "the later lifetime is alive"
    );
    assert_eq!(ready_ids(&registry), [key(2)]);
}

#[test]
fn endpoint_without_a_start_time_is_used() {
    let undated = EndpointRecord {
        started_ms: None,
        ..lifetime(1, EndpointState::Ready)
    };
    let id = undated.key();
    assert_eq!(id, EndpointId::from_name("e"));
    let mut registry = registry_of([EndpointChange::Put(undated, at(3))]);
    assert_eq!(ready_ids(&registry), [id]);
    registry.apply(ready(1, 4), None);
    assert_eq!(ready_ids(&registry), [key(1)], "it reports its start now");
}

#[test]
fn update_of_an_earlier_version_is_merged() {
    let json = r#"{"since":null,"revision":{"era":0,"number":3},"endpoints":[{"record":{"id":"e","service":"x",
        "address":"10.0.0.1:80","domain":"a","slots":4,"state":"Ready","warmup_ms":0},"revision":{"era":0,"number":3},
        "doubt":null}],"removed":[],"sum":0}"#;
    let update: EndpointUpdate = serde_json::from_str(json).unwrap();
    let mut registry = EndpointRegistry::default();
    registry.merge(update, 1_000);
    assert_eq!(ready_ids(&registry), [EndpointId::from_name("e")]);
}

#[test]
fn overwritten_record_is_unusable_until_its_endpoint_rewrites_it() {
    let mut registry = registry_of([ready(1, 3)]);
    registry.note_sent(key(1), 1_000);
    assert!(registry.apply(EndpointChange::Unusable("e".to_owned(), at(4)), None));
    assert_eq!(
        (ready_ids(&registry), registry.iter().count()),
        (Vec::new(), 1)
    );
    assert!(!registry.apply(ready(1, 3), None), "an older record");
    let mut receiver = EndpointRegistry::default();
    receiver.merge(registry.update_since(StoreRevision::NONE, 1_000), 1_000);
    assert_eq!(
        (ready_ids(&receiver), receiver.checksum()),
        (Vec::new(), registry.checksum())
    );
    assert!(registry.apply(ready(1, 5), None));
    assert_eq!(ready_ids(&registry), [key(1)]);
    assert_eq!(
        registry.get(key(1)).unwrap().in_flight,
        1,
        "its lifetime is the same"
    );
}

#[test]
fn unusable_record_without_an_endpoint_adds_none() {
    let mut registry = registry_of([EndpointChange::Unusable("e".to_owned(), at(4))]);
    assert_eq!(registry.iter().count(), 0);
    assert!(
        !registry.apply(ready(1, 3), None),
        "it was overwritten at a later revision"
    );
    assert!(registry.apply(ready(1, 5), None));
    registry.replace(
        vec![EndpointChange::Unusable("e".to_owned(), at(6))],
        at(7),
        Some(3_000),
    );
    assert_eq!(
        (ready_ids(&registry), registry.iter().count()),
        (Vec::new(), 1)
    );
}

/// A step of the simulation of an endpoint, its record and the boxes that know it.
#[derive(Debug, Clone, Copy)]
enum LifetimeStep {
    /// The endpoint restarts and writes its record.
    Restart,
    /// It writes that it is ready (true) or draining (false).
    Write(bool),
    /// A write of the previous lifetime is applied late.
    LateWrite(bool),
    /// Its record is overwritten by an unusable one.
    Overwrite,
    /// Its record is removed.
    Remove,
    /// A box receives one change, in any order.
    Receive(usize, prop::sample::Index),
    /// A box merges an update of another box.
    Merge(usize, usize),
    /// A box sends a request to the lifetime that it knows.
    Send(usize),
    /// A request fails.
    Fail(usize, prop::sample::Index),
}

const BOXES: usize = 4;

fn lifetime_step() -> impl Strategy<Value = LifetimeStep> {
    let at = || 0..BOXES;
    prop_oneof![
        2 => Just(LifetimeStep::Restart),
        2 => any::<bool>().prop_map(LifetimeStep::Write),
        1 => any::<bool>().prop_map(LifetimeStep::LateWrite),
        1 => Just(LifetimeStep::Overwrite),
        1 => Just(LifetimeStep::Remove),
        6 => (at(), any::<prop::sample::Index>())
            .prop_map(|(at, change)| LifetimeStep::Receive(at, change)),
        4 => (at(), at()).prop_map(|(from, to)| LifetimeStep::Merge(from, to)),
        3 => at().prop_map(LifetimeStep::Send),
        2 => (at(), any::<prop::sample::Index>())
            .prop_map(|(at, sent)| LifetimeStep::Fail(at, sent)),
    ]
}

fn merge(registries: &mut [EndpointRegistry; BOXES], from: usize, to: usize) {
    let update = registries[from].update_since(registries[to].revision(), 0);
    if !registries[to].merge(update, 0).agrees {
        let all = registries[from].update_since(StoreRevision::NONE, 0);
        registries[to].merge(all, 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    /// Guards against boxes that fall back to an earlier lifetime, count its requests for the
    /// current one, or differ once all changes were received.
    #[test]
    fn no_box_returns_to_an_earlier_lifetime(
        steps in prop::collection::vec(lifetime_step(), 1..80),
    ) {
        let mut registries: [EndpointRegistry; BOXES] = Default::default();
        let mut history = vec![ready(1, 1)];
        let mut newest = [0_u64; BOXES];
        let mut sent: [Vec<EndpointId>; BOXES] = Default::default();
        let (mut number, mut revision) = (1, 1);
        for step in steps {
            revision += 1;
            match step {
                LifetimeStep::Restart => {
                    number += 1;
                    history.push(ready(number, revision));
                }
                LifetimeStep::Write(true) => history.push(ready(number, revision)),
                LifetimeStep::Write(false) => history.push(draining(number, revision)),
                LifetimeStep::LateWrite(_) if number == 1 => {}
                LifetimeStep::LateWrite(true) => history.push(ready(number - 1, revision)),
                LifetimeStep::LateWrite(false) => history.push(draining(number - 1, revision)),
                LifetimeStep::Overwrite =>
                    history.push(EndpointChange::Unusable("e".to_owned(), at(revision))),
                LifetimeStep::Remove =>
                    history.push(EndpointChange::Removed("e".to_owned(), at(revision))),
                LifetimeStep::Receive(at, change) => {
                    registries[at].apply(change.get(&history).clone(), None);
                }
                LifetimeStep::Merge(from, to) => merge(&mut registries, from, to),
                LifetimeStep::Send(at) => {
                    let id = registries[at].iter().next().map(|(id, _)| id);
                    if let Some(id) = id {
                        registries[at].note_sent(id, 1_000);
                        sent[at].push(id);
                    }
                }
                LifetimeStep::Fail(at, choice) if !sent[at].is_empty() => {
                    let id = sent[at].swap_remove(choice.index(sent[at].len()));
                    registries[at].note_outcome(id, EndpointOutcome::Failed, 1_000);
                    registries[at].note_request_ended(id);
                }
                LifetimeStep::Fail(..) => {}
            }
            for (at, registry) in registries.iter().enumerate() {
                prop_assert!(registry.iter().count() <= 1, "an id has one lifetime at a time");
                let Some((id, entry)) = registry.iter().next() else {
                    // Requests to a removed endpoint are not counted.
                    sent[at].clear();
                    continue;
                };
                let started_ms = entry.record.started_ms.unwrap();
                prop_assert!(started_ms >= newest[at], "box {at} returned to an earlier lifetime");
                newest[at] = started_ms;
                sent[at].retain(|sent| *sent == id);
                // The count starts again if the record was removed and rewritten in between.
                prop_assert!(entry.in_flight as usize <= sent[at].len(), "of another lifetime");
            }
        }
        // The endpoint writes once more, and all boxes receive all changes.
        history.push(ready(number, revision + 1));
        for registry in &mut registries {
            for change in history.iter().rev() {
                registry.apply(change.clone(), None);
            }
            prop_assert_eq!(ready_ids(registry), vec![key(number)]);
        }
        prop_assert!(
            registries.iter().all(|registry| registry.checksum() == registries[0].checksum())
        );
    }
}
