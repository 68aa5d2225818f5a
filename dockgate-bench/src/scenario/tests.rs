use super::*;

#[test]
fn problems_are_reported_with_their_line() {
    let text = "[fleet]\ndomains = a\ncolour = red\n[fault 1]\nkind = flood\n";
    let report = BenchScenario::parse("s", "s.ini", text)
        .unwrap_err()
        .to_string();
    assert!(report.contains("s.ini:3: unknown key colour"), "{report}");
    assert!(
        report.contains("s.ini:5: kind = flood: must be kill"),
        "{report}"
    );
}

#[test]
fn bundled_scenarios_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        let scenario = BenchScenario::load(&path).unwrap();
        assert!(!scenario.workspaces.is_empty(), "{}", path.display());
    }
}
