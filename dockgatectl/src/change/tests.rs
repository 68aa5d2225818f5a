use super::*;

fn flags(name: &str, share: Option<&str>) -> WorkspaceFlags {
    WorkspaceFlags {
        name: name.to_owned(),
        share: share.map(str::to_owned),
        priority: None,
        key: Vec::new(),
        queue_limit: None,
    }
}

#[test]
fn set_keeps_what_is_not_named() {
    let empty = FleetConfig::default();
    let mut add = flags("w", Some("7"));
    add.priority = Some("3".to_owned());
    let added = workspace_change(&empty, &WorkspaceVerb::Add(add)).unwrap();
    let config = empty.apply(&[added]).unwrap();
    let set = WorkspaceVerb::Set(flags("w", Some("9")));
    let config = config
        .apply(&[workspace_change(&config, &set).unwrap()])
        .unwrap();
    let spec = config.workspaces.get_by_name("w").unwrap();
    assert_eq!((spec.share, spec.priority), (9, 3));
}

#[test]
fn bad_intents_are_told_apart() {
    let empty = FleetConfig::default();
    let set = workspace_change(&empty, &WorkspaceVerb::Set(flags("w", None)));
    assert!(
        set.unwrap_err()
            .to_string()
            .contains("there is no workspace w")
    );
    let add = workspace_change(&empty, &WorkspaceVerb::Add(flags("w", Some("0"))));
    assert!(add.unwrap_err().to_string().contains("from 1 to 10000"));
}
