//! Changes of the configuration and of the settings that affect requests in progress.

use crate::gateway_fleet::{GatewayProcess, KEYS, large_config, route_config};
use nix::sys::signal::Signal;
use rand::RngExt;
use rand::rngs::StdRng;

/// Number of unused routes in a large configuration.
const EXTRA_ROUTES: usize = 4_000;
/// The route paths that can be removed.
const PATHS: [&str; 4] = ["/once/", "/again/", "/live/", "/draft/"];

/// Returns a configuration that differs from the default one in some respects, and their names.
pub(super) fn draw_config(version: u64, rng: &mut StdRng) -> (String, String) {
    let mut what = Vec::new();
    let mut config = match rng.random_bool(0.2) {
        true => {
            what.push("many routes".to_owned());
            large_config(version, KEYS, EXTRA_ROUTES)
        }
        false => route_config(version, KEYS),
    };
    let limit = 10_usize.pow(rng.random_range(3..8));
    let idle_ms = rng.random_range(50..15_000);
    let limits = format!(
        r#""max_body_bytes":{limit},"idle_timeout_ms":{idle_ms},"header_timeout_ms":{idle_ms}"#
    );
    config = config.replace(r#""max_body_bytes":10000"#, &limits);
    what.push(limits);
    let mut change = |probability: f64, name: &str, from: &str, to: &str| {
        if rng.random_bool(probability) {
            config = config.replace(from, to);
            what.push(name.to_owned());
        }
    };
    for path in PATHS {
        change(0.1, &format!("no {path}"), path, "/gone/");
    }
    let to_model = r#""service":"model""#;
    let to_plain = r#""service":"plain""#;
    change(0.15, "plain to model", to_plain, to_model);
    change(0.15, "model to plain", to_model, to_plain);
    change(0.1, "no plain", r#""name":"plain""#, r#""name":"gone""#);
    change(0.1, "no model", r#""name":"model""#, r#""name":"gone""#);
    change(0.1, "no key", r#""k1","#, "");
    let connections = r#""max_connections":100"#;
    change(
        0.2,
        "few connections",
        connections,
        r#""max_connections":2"#,
    );
    // Longer than any stream of these runs, as a stream is cut at its timeout.
    let timeout = r#""timeout_ms":4000"#;
    change(0.1, "short timeouts", timeout, r#""timeout_ms":1500"#);
    (config, what.join(", "))
}

/// Changes the settings of a box, and signals that in most cases; returns what was done.
pub(super) fn change_settings(gateway: &GatewayProcess, rng: &mut StdRng) -> String {
    let memory_mb = rng.random_range(24..90);
    let descriptors = rng.random_range(300..1_200);
    let boxes = rng.random_range(1..9);
    let conditions = match rng.random_bool(0.7) {
        true => "conditions = pressure\n",
        false => "",
    };
    let edit = |text: &str| {
        let is_kept = |line: &&str| {
            let changed = ["memory_mb", "descriptors", "boxes", "conditions"];
            !changed.iter().any(|key| line.starts_with(key))
        };
        let kept: Vec<&str> = text.lines().filter(is_kept).collect();
        let memory = format!("domain = a\nmemory_mb = {memory_mb}");
        let kept = kept.join("\n").replace("domain = a", &memory);
        format!("{kept}\ndescriptors = {descriptors}\nboxes = {boxes}\n{conditions}")
    };
    let signals = rng.random_bool(0.8);
    let what = format!(
        "memory {memory_mb} MB, {descriptors} descriptors, {} signal {signals}",
        conditions.trim_end()
    );
    if let Err(error) = gateway.edit_settings(edit) {
        return format!("{what}: {error}");
    }
    if signals && gateway.handles_signal(Signal::SIGHUP) {
        gateway.signal(Signal::SIGHUP);
    }
    what
}
