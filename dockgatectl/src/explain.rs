//! Timeline of a request, assembled from the logs of all boxes.
//!
//! Besides the lines of the request, it has the last known state of routes, store and endpoints at
//! each box involved.

use crate::error::CtlError;
use crate::log_line::{LogLine, read_lines};
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

/// Events that show the state known to a box; the last one of each kind and endpoint or failure
/// domain is shown.
const STATE_EVENTS: [&str; 11] = [
    "routes_in_force",
    "store_lost",
    "store_back",
    "endpoints_listed",
    "endpoint_ready",
    "endpoint_draining",
    "endpoint_gone",
    "domain_evacuated",
    "evacuation_taken_back",
    "box_gone",
    "stopping",
];

/// Returns the ids of all requests with which a caller received the stream of request `id`, or the
/// id alone.
fn stream_requests<'a>(id: &'a str, lines: &'a [LogLine]) -> BTreeSet<&'a str> {
    let taken_up = lines
        .iter()
        .map(|line| (line.text("request"), line.text("resumes")));
    let taken_up = taken_up.filter(|(_, began)| !began.is_empty());
    let mut ids = BTreeSet::from([id]);
    loop {
        let known = ids.len();
        for (request, began) in taken_up.clone() {
            if ids.contains(request) || ids.contains(began) {
                ids.extend([request, began]);
            }
        }
        if ids.len() == known {
            return ids;
        }
    }
}

/// Returns the timeline of a request and of those that take up the same stream, or `None` if no line
/// names it.
fn explain(id: &str, lines: &[LogLine]) -> Option<String> {
    let ids = stream_requests(id, lines);
    let mut request_lines: Vec<&LogLine> = lines
        .iter()
        .filter(|line| ids.contains(line.text("request")))
        .collect();
    request_lines.sort_by_key(|line| line.at_ms);
    let first = request_lines.first()?.at_ms;
    let last = request_lines.last()?.at_ms;
    let boxes: BTreeSet<&str> = request_lines
        .iter()
        .map(|line| line.box_name.as_str())
        .collect();
    let endpoints: BTreeSet<&str> = request_lines
        .iter()
        .flat_map(|line| line.endpoints())
        .collect();
    let mut state_lines: BTreeMap<(&str, &str, &str), &LogLine> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.at_ms <= last) {
        let (box_name, kind) = (line.box_name.as_str(), line.kind());
        let endpoint = line.text("endpoint");
        let is_relevant = boxes.contains(box_name) && STATE_EVENTS.contains(&kind);
        if is_relevant && (endpoint.is_empty() || endpoints.contains(endpoint)) {
            let subject = match endpoint {
                "" => line.text("domain"),
                endpoint => endpoint,
            };
            let latest = state_lines.entry((box_name, kind, subject)).or_insert(line);
            if latest.at_ms <= line.at_ms {
                *latest = line;
            }
        }
    }
    let mut state_lines: Vec<&LogLine> = state_lines.into_values().collect();
    state_lines.sort_by_key(|line| line.at_ms);
    let mut timeline =
        format!("request {id}; times in milliseconds from its first line\n\nbefore:\n");
    for line in &state_lines {
        timeline.push_str(&line.render(first));
        timeline.push('\n');
    }
    timeline.push_str("\nthe request:\n");
    for line in &request_lines {
        timeline.push_str(&line.render(first));
        timeline.push('\n');
    }
    Some(timeline)
}

/// Prints the timeline of a request.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line names the request.
pub(crate) fn print_timeline(id: &str, files: &[PathBuf]) -> Result<(), CtlError> {
    let lines = read_lines(files)?;
    let timeline = explain(id, &lines).ok_or_else(|| {
        CtlError::Invalid(format!(
            "{} lines with events, none of which names {id}",
            lines.len()
        ))
    })?;
    print!("{timeline}");
    Ok(())
}

#[cfg(test)]
mod tests;
