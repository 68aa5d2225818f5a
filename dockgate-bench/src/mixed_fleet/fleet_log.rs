//! Checks the logs of a fleet for unexpected events.

use serde_json::Value;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::ops::Range;

/// Events of a failure, or of a message or record of the other build that a box could not use.
const FORBIDDEN: [&str; 3] = ["unreadable", "task_panicked", "ignored"];

/// Start of `problem` if a box cannot parse the answer of another one.
const CANNOT_READ: &str = "Parse error";

/// A period in which a box was down, in Unix milliseconds.
#[derive(Debug, Clone)]
pub(super) struct Downtime {
    pub(super) ip: Ipv4Addr,
    pub(super) unix_ms: Range<u64>,
}

/// Returns the lines of a log that contain forbidden events.
pub(super) fn forbidden_lines(log: &str, downtimes: &[Downtime]) -> Vec<String> {
    let is_forbidden = |line: &&str| {
        let Ok(line) = serde_json::from_str::<Value>(line) else {
            // A killed process may leave a partial line, and a panic is logged as plain text.
            return line.contains("panicked");
        };
        let event = &line["event"];
        let name = event["event"].as_str().unwrap_or_default();
        let is_unexpected = || {
            let at_ms = line["at_ms"].as_u64().unwrap_or_default();
            let peer = event["peer"].as_str().unwrap_or_default();
            let is_down = |down: &Downtime| {
                down.unix_ms.contains(&at_ms) && peer.starts_with(&format!("{}:", down.ip))
            };
            // A box whose answer cannot be parsed was not down.
            let problem = event["problem"].as_str().unwrap_or_default();
            problem.starts_with(CANNOT_READ) || !downtimes.iter().any(is_down)
        };
        FORBIDDEN.contains(&name) || (name == "state_unanswered" && is_unexpected())
    };
    let lines = log.lines().filter(is_forbidden);
    lines.map(str::to_owned).collect()
}

/// Returns the messages of level WARN and ERROR with digits masked, so that runs can be compared.
pub(super) fn problem_lines(log: &str) -> BTreeSet<String> {
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let problems = lines.filter(|line| matches!(line["level"].as_str(), Some("WARN" | "ERROR")));
    let texts = problems.map(|line| format!("{} {}", line["level"], line["message"]));
    let texts = texts.map(|text| text.replace(|letter: char| letter.is_ascii_digit(), "#"));
    texts.collect()
}

/// Returns the last line of a log about a request, which may contain the reason for its refusal.
pub(super) fn last_line_of(log: &str, id: &str) -> Option<String> {
    let request_field = format!(r#""request":"{id}""#);
    let mut lines = log.lines().filter(|line| line.contains(&request_field));
    lines.next_back().map(str::to_owned)
}
