use super::*;
use yare::parameterized;

const VALID: &str = "[box]\nname = a\ndomain = d\n[listen]\ncallers = 127.0.0.1:1\n\
    peers = 127.0.0.1:2\noperators = 127.0.0.1:3\nmetrics = 127.0.0.1:4\n\
    [platform]\naddress = 127.0.0.1:5\n[secrets]\nfleet_file = f\noperator_file = o\n";

fn args(flags: &[&str]) -> DaemonArgs {
    DaemonArgs::parse_from(std::iter::once("dockgate").chain(flags.iter().copied()))
}

#[test]
fn flags_override_the_file() {
    let flags = args(&["--name", "b", "--callers", "127.0.0.1:9"]);
    let settings = parse_settings("s.ini", VALID, &flags).unwrap();
    assert_eq!(
        (settings.name.as_str(), settings.domain.as_str()),
        ("b", "d")
    );
    assert_eq!(settings.listen.callers.port(), 9);
}

#[parameterized(
    section = { "[lisen]\n", "s.ini:14: unknown section; allowed: [box], [listen]" },
    key = { "[limits]\ncolour = 1\n", "s.ini:15: unknown key colour; allowed here: conn" },
    range = { "[limits]\nattempts = 0\n", "s.ini:15: attempts = 0: must be a whole number" },
    word = { "[schedule]\norder = best\n", "s.ini:15: order = best: must be fair" },
)]
fn invalid_settings_are_reported_with_their_line(extra: &str, expected: &str) {
    let text = format!("{VALID}{extra}");
    let report = parse_settings("s.ini", &text, &args(&[]))
        .unwrap_err()
        .to_string();
    assert!(report.starts_with(expected), "{report}");
}

#[test]
fn missing_key_is_reported_by_name() {
    let report = parse_settings("s.ini", "", &args(&[]))
        .unwrap_err()
        .to_string();
    assert!(
        report.contains("[box] lacks name, which must be the box's name"),
        "{report}"
    );
}
