use super::*;

const TEXT: &str = "\
[box]
name = a1
domain = a
[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
state = 10.0.0.1:82
peers = 10.0.0.1:83
metrics = 10.0.0.1:84
[platform]
store = 10.0.0.9:80
[gateway]
seeds = 10.0.0.1:82,10.0.0.2:82
retry_slack = 52
warmup_overshoot = 1.5
warmup_slack = 5
";

#[test]
fn omitted_settings_have_defaults() {
    let settings = parse_settings("f.ini", TEXT).unwrap();
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.retry_slack, 52.0);
    assert_eq!(settings.memory_bytes(), None);
    assert_eq!(
        (settings.warmup_overshoot, settings.warmup_slack),
        (1.5, 5.0)
    );
    assert_eq!(settings.stop_grace, Duration::from_secs(8));
    assert!(has_gateway_section(TEXT) && !has_gateway_section("[box]\nname = gateway\n"));
}

#[test]
fn invalid_settings_are_reported_together() {
    let text = TEXT
        .replace("name = a1\n", "")
        .replace("retry_slack = 52", "retry_slack = -1")
        .replace("warmup_overshoot = 1.5", "warmup_overshoot = 0.5")
        .replace("domain = a\n", "domain = a\nmemory_mb = 0\n");
    let problems = parse_settings("f.ini", &text).unwrap_err().to_string();
    assert!(problems.contains("lacks name"), "{problems}");
    assert!(problems.contains("retry_slack = -1"), "{problems}");
    assert!(problems.contains("memory_mb = 0"), "{problems}");
    assert!(problems.contains("warmup_overshoot = 0.5"), "{problems}");
}

/// Guards against a panic of the task that reads the settings again.
#[test]
fn too_long_times_are_reported() {
    let text = TEXT.replace("retry_slack = 52", "share_window_s = 86401");
    let problems = parse_settings("f.ini", &text).unwrap_err().to_string();
    assert!(problems.contains("share_window_s = 86401"), "{problems}");
}

/// Guards against requests that wait in a fleet whose conditions do not ask for it.
#[test]
fn conditions_are_read_as_a_list() {
    let contended = |text: &str| parse_settings("f.ini", text).unwrap().conditions.contended;
    assert!(!contended(TEXT) && !contended(&format!("{TEXT}conditions =\n")));
    assert!(contended(&format!("{TEXT}conditions = drain, pressure\n")));
}
