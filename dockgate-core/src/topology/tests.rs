use super::*;
use crate::parse_declaration;

fn config() -> FleetConfig {
    let mut text = String::from("[pool p]\nkind = service\n");
    for endpoint in 0..12 {
        let domain = ["a", "b"][endpoint % 2];
        text += &format!(
            "[endpoint s{endpoint}]\npool = p\ndomain = {domain}\naddress = 127.0.0.1:{}\n",
            9000 + endpoint
        );
    }
    let empty = FleetConfig::default();
    let declaration = parse_declaration("f", &text).unwrap();
    empty.apply(&declaration.changes_from(&empty)).unwrap()
}

fn live_box(key: u32, domain: &str, may_schedule: bool) -> LiveBox {
    LiveBox {
        key: BoxKey(key),
        domain: domain.to_owned(),
        may_schedule,
    }
}

#[test]
fn endpoints_are_scheduled_in_their_own_domain() {
    let boxes = [
        live_box(1, "a", true),
        live_box(2, "a", false),
        live_box(3, "b", true),
    ];
    let topology = FleetTopology::new(&config(), &boxes);
    assert_eq!(topology.endpoints_of(BoxKey(1)).len(), 6);
    assert_eq!(topology.endpoints_of(BoxKey(2)).len(), 0);
    let schedulers = topology.schedulers_by_distance(BoxKey(2));
    assert_eq!(schedulers[&PoolKey(1)], [BoxKey(1), BoxKey(3)]);
}

#[test]
fn endpoints_of_a_domain_without_boxes_are_not_scheduled() {
    let topology = FleetTopology::new(&config(), &[live_box(1, "a", true)]);
    assert_eq!(topology.scheduler_counts()[&PoolKey(1)], 1);
    let owned = topology.endpoints_of(BoxKey(1));
    assert!(
        owned
            .iter()
            .all(|endpoint| topology.owner(endpoint.key) == Some(BoxKey(1)))
    );
    assert_eq!(owned.len(), 6);
}
