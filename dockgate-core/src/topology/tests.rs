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

fn live(key: u32, domain: &str, may_schedule: bool) -> LiveBox {
    LiveBox {
        key: BoxKey(key),
        domain: domain.to_owned(),
        may_schedule,
    }
}

#[test]
fn endpoints_are_scheduled_in_their_own_domain() {
    let boxes = [live(1, "a", true), live(2, "a", false), live(3, "b", true)];
    let topology = FleetTopology::new(&config(), &boxes);
    assert_eq!(topology.endpoints_of(BoxKey(1)).len(), 6);
    assert_eq!(topology.endpoints_of(BoxKey(2)).len(), 0);
    let asked = topology.schedulers_by_distance(BoxKey(2));
    assert_eq!(asked[&PoolKey(1)], [BoxKey(1), BoxKey(3)]);
}

#[test]
fn a_domain_without_boxes_leaves_its_endpoints_unscheduled() {
    let topology = FleetTopology::new(&config(), &[live(1, "a", true)]);
    assert_eq!(topology.scheduler_counts()[&PoolKey(1)], 1);
    let owned = topology.endpoints_of(BoxKey(1));
    assert!(
        owned
            .iter()
            .all(|endpoint| topology.owner(endpoint.key) == Some(BoxKey(1)))
    );
    assert_eq!(owned.len(), 6);
}
