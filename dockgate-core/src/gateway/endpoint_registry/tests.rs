use super::*;
use crate::gateway::evacuation_orders::EvacuationOrder;
use proptest::prelude::*;

/// Creates a revision of a store that reports no era.
const fn at(number: u64) -> StoreRevision {
    StoreRevision::new(0, number)
}

fn record(id: &str, state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: id.to_owned(),
        started_ms: None,
        service: "x".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 4,
        state,
        warmup_ms: 0,
        version: "v1".to_owned(),
    }
}

fn put(id: &str, revision: u64) -> EndpointChange {
    EndpointChange::Put(record(id, EndpointState::Ready), at(revision))
}

#[test]
fn older_record_never_replaces_a_newer_one() {
    let mut registry = EndpointRegistry::default();
    assert!(registry.apply(
        EndpointChange::Put(record("e", EndpointState::Draining), at(9)),
        None
    ));
    assert!(!registry.apply(put("e", 8), None));
    assert_eq!(registry.ready("x").len(), 0);
}

#[test]
fn removed_endpoint_is_not_restored_by_a_late_record() {
    let mut registry = EndpointRegistry::default();
    registry.apply(put("e", 3), None);
    assert!(registry.apply(EndpointChange::Removed("e".to_owned(), at(5)), None));
    assert!(!registry.apply(put("e", 4), None));
    assert!(registry.apply(put("e", 6), None));
}

#[test]
fn record_that_expired_during_an_outage_is_kept_until_its_deadline() {
    let mut registry = EndpointRegistry::default();
    registry.apply(put("back", 3), None);
    registry.apply(put("gone", 3), None);
    registry.replace(Vec::new(), at(10), Some(2_000));
    assert_eq!(registry.ready("x").len(), 2);
    registry.apply(put("back", 11), None);
    assert!(registry.expire(1_999).is_empty());
    assert_eq!(registry.expire(2_000).lapsed, ["gone"]);
    assert_eq!(registry.ready("x").len(), 1);
}

/// Guards against an endpoint that is kept after its removal by a box which takes it for lapsed.
#[test]
fn removal_known_to_another_box_ends_the_grace_of_a_missing_record() {
    let mut started = EndpointRegistry::default();
    for (id, revision) in [("gone", 3), ("lapsed", 4), ("back", 5)] {
        started.apply(put(id, revision), None);
    }
    let mut informed = started.clone();
    for id in ["gone", "back"] {
        informed.apply(EndpointChange::Removed(id.to_owned(), at(7)), None);
    }
    started.replace(Vec::new(), at(10), Some(2_000));
    started.apply(put("back", 11), Some(2_000));
    let update = informed.update_since(at(5), 1_000);
    let changes = started.merge_removals(update.removed);
    assert_eq!(changes, [EndpointChange::Removed("gone".to_owned(), at(7))]);
    assert_eq!(started.ready("x").len(), 2);
    assert!(started.has_unconfirmed());
    assert_eq!(started.expire(2_000).lapsed, ["lapsed"]);
    assert!(!started.has_unconfirmed());
}

#[test]
fn missing_draining_endpoint_is_removed_at_once() {
    let mut registry = EndpointRegistry::default();
    registry.apply(
        EndpointChange::Put(record("e", EndpointState::Draining), at(3)),
        None,
    );
    registry.replace(Vec::new(), at(10), Some(2_000));
    assert_eq!(registry.iter().count(), 0);
}

proptest! {
    #[test]
    fn newest_change_wins_in_any_order(
        order in Just((1_u64..9).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let mut registry = EndpointRegistry::default();
        let id = EndpointId::from_name("e");
        for revision in &order {
            let change = match revision % 4 {
                0 => EndpointChange::Removed("e".to_owned(), at(*revision)),
                _ => put("e", *revision),
            };
            registry.apply(change, None);
        }
        prop_assert!(registry.get(id).is_none(), "revision 8 removed it");
    }
}

proptest! {
    /// Guards against an index that is stale after a change.
    #[test]
    fn ready_index_matches_the_records(
        changes in prop::collection::vec((0_usize..4, 0_u8..4, 0_u64..9, 1_u64..20), 1..60),
    ) {
        let mut registry = EndpointRegistry::default();
        for (name, kind, kept, revision) in changes {
            let id = ["e", "f", "g", "h"][name];
            let kept_until_ms = (kept > 5).then_some(kept * 100);
            match kind {
                0 => drop(registry.apply(
                    EndpointChange::Removed(id.to_owned(), at(revision)),
                    kept_until_ms,
                )),
                1 => {
                    let draining = record(id, EndpointState::Draining);
                    registry.apply(EndpointChange::Put(draining, at(revision)), kept_until_ms);
                }
                2 => {
                    let listed = vec![put(id, revision)];
                    registry.replace(listed, at(revision), kept_until_ms);
                }
                _ => drop(registry.apply(put(id, revision), kept_until_ms)),
            }
            registry.expire(revision * 40);
            let ready: Vec<EndpointId> = registry.ready("x").iter().map(|ready| ready.id).collect();
            let entries = registry.iter();
            let entries = entries.filter(|(_, entry)| entry.record.state == EndpointState::Ready);
            let expected: Vec<EndpointId> = entries.map(|(id, _)| id).collect();
            prop_assert_eq!(ready, expected);
        }
    }
}

#[test]
fn unreachable_domain_is_ineligible_until_one_of_its_endpoints_answers() {
    let mut registry = EndpointRegistry::default();
    for (revision, id) in ["e", "f", "g"].into_iter().enumerate() {
        registry.apply(put(id, revision as u64 + 1), None);
    }
    let [e, f, g] = ["e", "f", "g"].map(EndpointId::from_name);
    registry.note_outcome(e, EndpointOutcome::Silent, 1_000);
    assert_eq!(
        registry.eligible("x", 1_000).count(),
        2,
        "a single silent endpoint may be down"
    );
    registry.note_outcome(f, EndpointOutcome::Unreachable, 1_000);
    registry.note_outcome(f, EndpointOutcome::Silent, 1_000);
    assert_eq!(
        registry.eligible("x", 1_000).count(),
        1,
        "a refused connection is an answer"
    );
    registry.note_reachability(e, false);
    assert_eq!(registry.eligible("x", 1_000).count(), 0);
    assert_eq!(
        registry.ready("x").len(),
        3,
        "ready endpoints are the last resort"
    );
    registry.note_reachability(g, true);
    let eligible: Vec<EndpointId> = registry.eligible("x", 60_000).map(|(id, _)| id).collect();
    assert_eq!(eligible.len(), 3, "silent endpoints are tried again");
}

#[test]
fn deadline_of_an_unconfirmed_endpoint_is_reported() {
    let mut sender = EndpointRegistry::default();
    sender.apply(put("e", 3), None);
    sender.apply(EndpointChange::Removed("e".to_owned(), at(5)), Some(2_600));
    let update = sender.update_since(StoreRevision::NONE, 1_000);
    let unconfirmed = UnconfirmedRecord {
        revision: at(5),
        lapses_in_ms: 1_600,
    };
    let first = &update.endpoints[0];
    assert_eq!(
        (first.revision, first.unconfirmed),
        (at(3), Some(unconfirmed))
    );

    let mut receiver = EndpointRegistry::default();
    receiver.apply(put("e", 3), None);
    receiver.merge(update, 1_010);
    assert!(receiver.expire(2_600).is_empty());
    assert_eq!(receiver.expire(2_610).lapsed, ["e"]);
    assert_eq!(receiver.ready("x").len(), 0);
}

/// Guards against an unconfirmed endpoint that is reported as newer than its removal: boxes that
/// had received the removal would restore it.
#[test]
fn unconfirmed_endpoint_replaces_no_confirmed_change() {
    let mut unconfirmed = EndpointRegistry::default();
    unconfirmed.apply(put("gone", 3), None);
    unconfirmed.apply(put("back", 4), None);
    let mut confirmed = unconfirmed.clone();
    confirmed.apply(EndpointChange::Removed("gone".to_owned(), at(5)), None);
    confirmed.apply(
        EndpointChange::Removed("back".to_owned(), at(6)),
        Some(2_600),
    );
    unconfirmed.replace(Vec::new(), at(7), Some(2_600));
    confirmed.apply(put("back", 8), None);

    confirmed.merge(unconfirmed.update_since(StoreRevision::NONE, 1_000), 1_000);
    let known: Vec<&str> = confirmed
        .iter()
        .map(|(_, entry)| &*entry.record.id)
        .collect();
    assert_eq!(known, ["back"], "removed endpoints stay removed");
    assert!(
        confirmed.expire(9_000).is_empty(),
        "rewritten endpoints stay"
    );
    unconfirmed.merge(confirmed.update_since(StoreRevision::NONE, 1_100), 1_100);
    let known: Vec<&str> = unconfirmed
        .iter()
        .map(|(_, entry)| &*entry.record.id)
        .collect();
    assert_eq!(known, ["back"], "the confirmed removal is merged");
}

/// A step of the simulation of a store's record and the boxes that know it.
#[derive(Debug, Clone, Copy)]
enum RegistryStep {
    /// The endpoint rewrites its record.
    Write,
    /// Its record is removed.
    Remove,
    /// A box receives all changes that it lacks.
    Watch(usize),
    /// A box lists the store after an outage, when missing records may have expired.
    ListAfterOutage(usize),
    /// A box merges an update of another box.
    Merge(usize, usize),
    /// Time passes, and unconfirmed endpoints are removed at their deadline.
    Expire(u64),
}

fn registry_step() -> impl Strategy<Value = RegistryStep> {
    prop_oneof![
        Just(RegistryStep::Write),
        Just(RegistryStep::Remove),
        (0_usize..3).prop_map(RegistryStep::Watch),
        (0_usize..3).prop_map(RegistryStep::ListAfterOutage),
        (0_usize..3, 0_usize..3).prop_map(|(from, to)| RegistryStep::Merge(from, to)),
        (0_u64..1_500).prop_map(RegistryStep::Expire),
    ]
}

proptest! {
    /// Guards against updates between boxes that restore an endpoint removed from the store, or
    /// remove one that was rewritten there.
    #[test]
    fn changes_received_from_the_store_are_undone_by_the_store_alone(
        steps in prop::collection::vec(registry_step(), 1..60),
    ) {
        let mut history = vec![put("e", 1)];
        let mut registries = [
            EndpointRegistry::default(),
            EndpointRegistry::default(),
            EndpointRegistry::default(),
        ];
        let mut received = [0_usize; 3];
        let (mut revision, mut now) = (1, 1_000);
        let id = EndpointId::from_name("e");
        for step in steps {
            revision += 1;
            match step {
                RegistryStep::Write => history.push(put("e", revision)),
                RegistryStep::Remove =>
                    history.push(EndpointChange::Removed("e".to_owned(), at(revision))),
                RegistryStep::Watch(at) => {
                    for change in &history[received[at]..] {
                        registries[at].apply(change.clone(), None);
                    }
                    received[at] = history.len();
                }
                RegistryStep::ListAfterOutage(index) => {
                    let listed = match history.last() {
                        Some(EndpointChange::Removed(..)) | None => Vec::new(),
                        Some(written) => vec![written.clone()],
                    };
                    registries[index].replace(listed, at(revision), Some(now + 2_000));
                }
                RegistryStep::Merge(from, to) => {
                    let known = registries[to].revision();
                    if registries[from].revision() > known {
                        let update = registries[from].update_since(known, now);
                        if !registries[to].merge(update, now).agrees {
                            let all = registries[from].update_since(StoreRevision::NONE, now);
                            registries[to].merge(all, now);
                        }
                    }
                }
                RegistryStep::Expire(elapsed_ms) => {
                    now += elapsed_ms;
                    registries.iter_mut().for_each(|registry| drop(registry.expire(now)));
                }
            }
            for (registry, received) in registries.iter().zip(received) {
                let last = received.checked_sub(1).map(|last| &history[last]);
                let later = history.len() > received;
                match last {
                    Some(EndpointChange::Removed(..)) if !later =>
                        prop_assert!(registry.get(id).is_none()),
                    Some(EndpointChange::Put(..)) if !later =>
                        prop_assert!(registry.get(id).is_some()),
                    _ => {}
                }
            }
        }
    }
}

#[test]
fn update_holds_only_the_changes() {
    let mut sender = EndpointRegistry::default();
    for number in 0..300 {
        sender.apply(put(&format!("e{number}"), number + 1), None);
    }
    let mut receiver = EndpointRegistry::default();
    let all = sender.update_since(receiver.revision(), 1_000);
    assert_eq!((all.since, all.endpoints.len()), (None, 300));
    assert!(receiver.merge(all, 1_000).agrees);

    sender.apply(EndpointChange::Removed("e7".to_owned(), at(301)), None);
    let draining = record("e8", EndpointState::Draining);
    sender.apply(EndpointChange::Put(draining, at(302)), None);
    let update = sender.update_since(receiver.revision(), 1_000);
    assert_eq!((update.endpoints.len(), update.removed.len()), (1, 1));
    let outcome = receiver.merge(update, 1_000);
    assert_eq!((outcome.changes.len(), outcome.agrees), (2, true));
    assert_eq!(receiver.checksum(), sender.checksum());
}

/// A box that applied a full list does not know earlier removals.
#[test]
fn full_list_is_sent_if_removals_are_unknown() {
    let mut sender = EndpointRegistry::default();
    sender.replace(vec![put("e", 4)], at(9), None);
    sender.apply(put("f", 10), None);
    assert_eq!(sender.update_since(at(8), 1_000).since, None);
    assert_eq!(sender.update_since(at(9), 1_000).since, Some(at(9)));
}

/// The revision alone does not show the missed removal.
#[test]
fn missed_removal_is_detected_by_the_checksum() {
    let mut sender = EndpointRegistry::default();
    let mut receiver = EndpointRegistry::default();
    for registry in [&mut sender, &mut receiver] {
        registry.apply(put("e", 1), None);
        registry.apply(put("f", 2), None);
    }
    sender.apply(EndpointChange::Removed("e".to_owned(), at(3)), None);
    receiver.advance(at(3));
    sender.apply(put("f", 4), None);
    assert!(
        !receiver
            .merge(sender.update_since(at(3), 1_000), 1_000)
            .agrees
    );
    assert!(
        receiver
            .merge(sender.update_since(StoreRevision::NONE, 1_000), 1_000)
            .agrees
    );
    assert_eq!(receiver.checksum(), sender.checksum());
}

proptest! {
    /// Guards against boxes that merge all updates of another box and still differ from it.
    #[test]
    fn updates_make_boxes_agree(
        steps in prop::collection::vec((0_usize..6, 0_usize..5, any::<bool>()), 1..80),
    ) {
        let names = ["e", "f", "g", "h", "i"];
        let mut store: BTreeMap<&str, u64> = BTreeMap::new();
        let mut registries = [
            EndpointRegistry::default(),
            EndpointRegistry::default(),
            EndpointRegistry::default(),
        ];
        let mut revision = 0;
        let merge = |registries: &mut [EndpointRegistry; 3], from: usize, to: usize| {
            let known = registries[to].revision();
            if registries[from].revision() > known {
                let update = registries[from].update_since(known, 0);
                if !registries[to].merge(update, 0).agrees {
                    let all = registries[from].update_since(StoreRevision::NONE, 0);
                    registries[to].merge(all, 0);
                }
            }
        };
        for (kind, name, is_put) in steps {
            let name = names[name];
            match kind {
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
                    registries[0].apply(change, None);
                }
                3 => {
                    let listed = store.iter();
                    let listed = listed.map(|(name, at)| put(name, *at));
                    registries[1].replace(listed.collect(), at(revision), None);
                }
                4 => merge(&mut registries, 0, 1),
                _ => merge(&mut registries, 1, 2),
            }
        }
        revision += 1;
        registries[0].apply(put("last", revision), None);
        merge(&mut registries, 0, 1);
        merge(&mut registries, 1, 2);
        prop_assert_eq!(registries[1].checksum(), registries[0].checksum());
        prop_assert_eq!(registries[2].checksum(), registries[0].checksum());
    }
}

#[test]
fn known_objections_to_an_endpoint_are_told() {
    let mut registry = EndpointRegistry::default();
    for id in ["ready", "draining", "gone", "again"] {
        registry.apply(put(id, 1), None);
    }
    let id_of = |id: &str| record(id, EndpointState::Ready).key();
    registry.apply(
        EndpointChange::Put(record("draining", EndpointState::Draining), at(2)),
        None,
    );
    registry.apply(EndpointChange::Removed("gone".to_owned(), at(3)), None);
    assert_eq!(registry.objection(id_of("ready"), 0), None);
    assert_eq!(registry.objection(id_of("unknown"), 0), None);
    for id in ["draining", "gone"] {
        assert_eq!(
            registry.objection(id_of(id), 0),
            Some(EndpointObjection::Leaving)
        );
    }
    registry.apply_evacuations([EvacuationOrder {
        domain: DomainKey::from_name("a"),
        revision: at(4),
        is_active: true,
    }]);
    assert_eq!(
        registry.objection(id_of("ready"), 0),
        Some(EndpointObjection::Evacuated)
    );
}

/// Guards against endpoints whose version stays unknown after a box of an earlier build reported
/// their record without it.
#[test]
fn version_missing_from_a_report_is_taken_from_the_record_of_the_same_revision() {
    let mut registry = EndpointRegistry::default();
    let complete = record("e", EndpointState::Ready);
    let reported = EndpointRecord {
        version: String::new(),
        ..complete.clone()
    };
    let revision = StoreRevision::new(1, 4);
    registry.apply(EndpointChange::Put(reported.clone(), revision), None);
    assert!(registry.apply(EndpointChange::Put(complete.clone(), revision), None));
    assert!(!registry.apply(EndpointChange::Put(reported, revision), None));
    let entry = registry.get(complete.key()).unwrap();
    assert_eq!(entry.record.version, complete.version);
}
