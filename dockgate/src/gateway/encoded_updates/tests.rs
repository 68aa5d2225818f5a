use super::*;
use dockgate_core::gateway::{EndpointRecord, EndpointState, ReportedEndpoint, UnconfirmedRecord};
use serde_json::value::to_raw_value;

fn update(unconfirmed: Option<UnconfirmedRecord>) -> EndpointUpdate {
    let record = EndpointRecord {
        id: "e".to_owned(),
        started_ms: None,
        service: "model".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "hall-a".to_owned(),
        slots: 4,
        state: EndpointState::Ready,
        warmup_ms: 0,
        version: "v1".to_owned(),
    };
    let endpoint = ReportedEndpoint {
        record,
        revision: 4.into(),
        unconfirmed,
        delay_ms: None,
    };
    EndpointUpdate {
        revision: 5.into(),
        endpoints: vec![endpoint],
        ..EndpointUpdate::default()
    }
}

#[test]
fn updates_are_reused_for_a_short_time_at_the_same_revision() {
    let mut updates = EncodedUpdates::default();
    let kept = update(None);
    let json = to_raw_value(&kept).unwrap();
    updates.keep(3.into(), &kept, &json, 1_000);
    let found = |updates: &mut EncodedUpdates, since: u64, revision: u64, now_ms| {
        updates
            .find(since.into(), revision.into(), now_ms)
            .is_some()
    };
    assert!(found(&mut updates, 3, 5, 1_099));
    assert!(
        !found(&mut updates, 2, 5, 1_099),
        "more changes are asked for"
    );
    assert!(!found(&mut updates, 3, 5, 1_100), "too old");
    updates.keep(3.into(), &kept, &json, 1_100);
    assert!(!found(&mut updates, 3, 6, 1_101), "a change is known since");
}

#[test]
fn updates_with_deadlines_are_not_reused() {
    let mut updates = EncodedUpdates::default();
    let kept = update(Some(UnconfirmedRecord {
        revision: 5.into(),
        lapses_in_ms: 700,
    }));
    let json = to_raw_value(&kept).unwrap();
    updates.keep(3.into(), &kept, &json, 1_000);
    assert!(updates.find(3.into(), 5.into(), 1_001).is_none());
}
