//! What the logs of a fleet say that they should not.

use serde_json::Value;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::ops::Range;

/// Events that say that a box could not read or use what another build wrote, or failed.
const FORBIDDEN: [&str; 3] = ["unreadable", "task_panicked", "ignored"];

/// What `problem` begins with if another box answered and this one cannot read the answer.
const CANNOT_READ: &str = "Parse error";

/// A time in Unix milliseconds in which a box was not there.
#[derive(Debug, Clone)]
pub(super) struct Downtime {
    pub(super) ip: Ipv4Addr,
    pub(super) unix_ms: Range<u64>,
}

/// Returns the forbidden events of a log: each line is one that should not be there.
pub(super) fn forbidden_lines(log: &str, downtimes: &[Downtime]) -> Vec<String> {
    let is_forbidden = |line: &&str| {
        let Ok(line) = serde_json::from_str::<Value>(line) else {
            // A process that is killed may leave half a line; one that panics leaves text.
            return line.contains("panicked");
        };
        let event = &line["event"];
        let name = event["event"].as_str().unwrap_or_default();
        let unanswered = || {
            let at_ms = line["at_ms"].as_u64().unwrap_or_default();
            let peer = event["peer"].as_str().unwrap_or_default();
            let is_down = |down: &Downtime| {
                down.unix_ms.contains(&at_ms) && peer.starts_with(&format!("{}:", down.ip))
            };
            // An answer that cannot be read came from a box that was there.
            let problem = event["problem"].as_str().unwrap_or_default();
            problem.starts_with(CANNOT_READ) || !downtimes.iter().any(is_down)
        };
        FORBIDDEN.contains(&name) || (name == "state_unanswered" && unanswered())
    };
    let lines = log.lines().filter(is_forbidden);
    lines.map(str::to_owned).collect()
}

/// Returns the lines of level WARN and ERROR without their numbers, so that runs can be compared.
pub(super) fn problem_lines(log: &str) -> BTreeSet<String> {
    let lines = log
        .lines()
        .filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let problems = lines.filter(|line| matches!(line["level"].as_str(), Some("WARN" | "ERROR")));
    let texts = problems.map(|line| format!("{} {}", line["level"], line["message"]));
    let texts = texts.map(|text| text.replace(|letter: char| letter.is_ascii_digit(), "#"));
    texts.collect()
}

/// Returns what a log says last of a request, such as the reason for which it was refused.
pub(super) fn reason_of(log: &str, id: &str) -> Option<String> {
    let named = format!(r#""request":"{id}""#);
    let mut lines = log.lines().filter(|line| line.contains(&named));
    lines.next_back().map(str::to_owned)
}
