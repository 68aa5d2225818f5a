use super::*;
use crate::parse_declaration;

const FLEET: &str = "[pool chat]\nkind = engine\nmodels = small\n\
    [endpoint a]\npool = chat\ndomain = hall-a\naddress = 127.0.0.1:9000\nslots = 8\n\
    [workspace w]\nshare = 3\n[workspace v]\n";

#[test]
fn plan_lists_changed_shares_drained_endpoints_and_refusals() {
    let empty = FleetConfig::default();
    let changes = parse_declaration("f", FLEET).unwrap().changes_from(&empty);
    let config = empty.apply(&changes).unwrap();
    let changes = vec![
        ConfigChange::RetireEndpoint("a".into()),
        ConfigChange::RetireWorkspace("v".into()),
    ];
    let plan = ConfigPlan::new(&config, changes.clone()).unwrap();
    assert_eq!(plan.effect.drained, ["a"]);
    assert_eq!(plan.effect.slots, (8, 0));
    assert_eq!(plan.effect.refused.len(), 2);
    assert_eq!(plan.effect.shares[1].after, 1.0);
    assert_eq!(plan.id, ConfigPlan::new(&config, changes).unwrap().id);
}
