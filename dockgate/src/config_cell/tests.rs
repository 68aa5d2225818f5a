use super::*;

#[test]
fn an_older_configuration_never_comes_back() {
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
