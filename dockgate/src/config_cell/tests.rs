use super::*;

#[test]
fn older_configuration_is_ignored() {
    let cell = ConfigCell::new();
    let config = |version| FleetConfig {
        version,
        ..FleetConfig::default()
    };
    assert!(!cell.is_ready());
    assert!(cell.offer(config(5), "test"));
    assert!(!cell.offer(config(4), "test"));
    assert!(!cell.offer(config(5), "test"));
    assert_eq!(cell.current().version, 5);
}
