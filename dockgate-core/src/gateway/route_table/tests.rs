use super::*;
use yare::parameterized;

fn route(host: &str, prefix: &str, services: &[(&str, u32)]) -> RouteSpec {
    RouteSpec {
        name: format!("{host}{prefix}"),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        services: services
            .iter()
            .map(|(service, weight)| ServiceWeight {
                service: (*service).to_owned(),
                weight: *weight,
            })
            .collect(),
        repeatable: false,
        form: AnswerForm::Whole,
        attempts: 1,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        pause: Duration::from_millis(200),
        priority: 1,
        public: false,
    }
}

fn table() -> RouteTable {
    RouteTable::new(RouteConfig {
        version: 3,
        routes: vec![
            route("a.example", "/chat/", &[("x", 1)]),
            route("a.example", "/chat/long/", &[("y", 1)]),
            route("b.example", "/", &[("x", 90), ("y", 10)]),
        ],
        workspaces: vec![WorkspaceKeys {
            name: "captions".to_owned(),
            keys: vec!["k1".to_owned(), "k2".to_owned()],
            priority: None,
        }],
        ..RouteConfig::default()
    })
}

#[parameterized(
    short = { "a.example", "/chat/1", Some("/chat/") },
    longest = { "a.example", "/chat/long/1", Some("/chat/long/") },
    port = { "a.example:8080", "/chat/1", Some("/chat/") },
    case = { "A.Example", "/chat/1", Some("/chat/") },
    whole_part = { "a.example", "/chatter", None },
    other_host = { "c.example", "/chat/1", None },
)]
fn the_longest_prefix_of_the_host_wins(host: &str, path: &str, prefix: Option<&str>) {
    let table = table();
    let found = table.find_route(host, path).map(|key| table.route(key));
    assert_eq!(found.map(|route| route.prefix.as_str()), prefix);
}

#[test]
fn workspaces_are_found_by_their_keys_only() {
    let table = table();
    assert!(table.needs_key());
    assert_eq!(
        table
            .find_workspace("k2")
            .map(|found| table.workspace(found).name.as_str()),
        Some("captions")
    );
    assert!(table.find_workspace("captions").is_none());
    assert!(!RouteTable::default().needs_key());
}

#[test]
fn services_are_chosen_by_weight_and_consistently_per_request() {
    let table = table();
    let route = table.route(table.find_route("b.example", "/1").unwrap());
    let ids: Vec<String> = (0..1_000).map(|id| format!("request-{id}")).collect();
    let first = ids
        .iter()
        .filter(|id| route.service_for(id) == Some("x"))
        .count();
    assert!(
        (850..950).contains(&first),
        "{first} of 1000 at a weight of 90 in 100"
    );
    assert!(
        ids.iter()
            .all(|id| route.service_for(id) == route.service_for(id))
    );
}

/// Guards against workspaces whose priority is ignored, or lost where they have none.
#[test]
fn priority_of_the_workspace_overrides_that_of_the_route() {
    let mut config = table().config().clone();
    config.workspaces[0].priority = Some(0);
    for (table, expected) in [(table(), 1), (RouteTable::new(config), 0)] {
        let route = table.find_route("a.example", "/chat/1").unwrap();
        assert_eq!(table.priority(route, table.find_workspace("k1")), expected);
        assert_eq!(table.priority(route, None), 1);
    }
}
