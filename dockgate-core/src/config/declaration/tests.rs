use super::*;
use proptest::prelude::*;
use yare::parameterized;

const FLEET: &str = "[pool chat]\nkind = engine\nmodels = small\n\
    [endpoint a]\npool = chat\ndomain = hall-a\naddress = 127.0.0.1:9000\n\
    [workspace w]\nshare = 3\n[kind quiz]\nrepeatable = no\n";

#[test]
fn applying_a_declaration_twice_changes_nothing() {
    let declaration = parse_declaration("f", FLEET).unwrap();
    let empty = FleetConfig::default();
    let config = empty.apply(&declaration.changes_from(&empty)).unwrap();
    assert_eq!(declaration.changes_from(&config), []);
    assert_eq!(
        config.kinds.get_by_name("quiz").map(|kind| kind.repeatable),
        Some(false)
    );
    let text = serde_json::to_string(&config).unwrap();
    assert_eq!(serde_json::from_str::<FleetConfig>(&text).unwrap(), config);
}

#[parameterized(
    share = { "[workspace w]\nshare = 0\n", "f:2: share = 0: must be" },
    key = { "[workspace w]\nkey = abc\n", "f:2: a key hash is 64" },
    unknown_key = { "[kind k]\ncolour = red\n", "f:2: unknown key colour; allowed here: repeatable" },
    unknown_section = { "[sever a]\n", "f:1: unknown section [sever a]; allowed: [workspace" },
    duplicate = { "[kind k]\n[kind k]\n", "f:2: [kind k] is already at line 1" },
    unknown_pool = {
        "[endpoint a]\npool = x\ndomain = d\naddress = 127.0.0.1:1\n",
        "f:2: pool x does not exist"
    },
    host_name_as_address = {
        "[pool p]\nkind = engine\n[endpoint a]\npool = p\ndomain = d\naddress = host:80\n",
        "f:6: address = host:80: must be an IP address"
    },
)]
fn invalid_declarations_are_reported_with_their_line(text: &str, expected: &str) {
    let report = parse_declaration("f", text).unwrap_err().to_string();
    assert!(report.starts_with(expected), "{report}");
}

proptest! {
    #[test]
    fn parser_never_panics(text in "(?s).{0,200}") {
        let _ = parse_declaration("f", &text);
    }
}
