//! One request's story, put together from the logs of all boxes.
//!
//! Logs may come from several files in any order, cut at their ends, and mixed with other text; a
//! line counts if a JSON object with an event stands in it. Besides the request's own lines, the
//! story shows what each box concerned had last learned of routes, store and endpoints before it.

use crate::error::CtlError;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::io::Read;
use std::path::PathBuf;

/// Events that tell what a box believed; the last one of each kind and subject is shown.
const BELIEFS: [&str; 9] = [
    "routes_in_force",
    "store_lost",
    "store_back",
    "endpoints_listed",
    "endpoint_ready",
    "endpoint_draining",
    "endpoint_gone",
    "box_gone",
    "stopping",
];

/// One line of a box's log.
#[derive(Debug, Clone, PartialEq)]
struct StoryLine {
    at_ms: u64,
    box_name: String,
    event: Map<String, Value>,
}

impl StoryLine {
    /// Reads a line; text before the object is passed over.
    fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        let value: Value = serde_json::from_str(line[start..].trim_end()).ok()?;
        let event = value.get("event")?.as_object()?.clone();
        Some(Self {
            at_ms: value.get("at_ms")?.as_u64()?,
            box_name: value.get("box")?.as_str()?.to_owned(),
            event,
        })
    }

    fn text(&self, name: &str) -> &str {
        self.event
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the endpoints that the line names: its own, and those that were asked.
    fn endpoints(&self) -> Vec<&str> {
        let asked = self.event.get("asked").and_then(Value::as_array);
        let asked = asked
            .into_iter()
            .flatten()
            .filter_map(|asked| asked.get("endpoint")?.as_str());
        std::iter::once(self.text("endpoint"))
            .chain(asked)
            .collect()
    }

    fn kind(&self) -> &str {
        self.text("event")
    }

    /// Writes the line for people: time, box, event, and its fields in order.
    fn render(&self, since_ms: u64) -> String {
        let offset = self.at_ms as i64 - since_ms as i64;
        let fields = self.event.iter().filter(|(name, _)| *name != "event");
        let fields: Vec<String> = fields
            .filter(|(_, value)| !value.is_null())
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                other => format!("{name}={other}"),
            })
            .collect();
        format!(
            "{offset:>+8} ms  {:<24} {:<18} {}",
            self.box_name,
            self.kind(),
            fields.join(" ")
        )
    }
}

/// Tells the story of a request from lines of logs; none where no line names it.
fn explain(id: &str, lines: &[StoryLine]) -> Option<String> {
    let mut own: Vec<&StoryLine> = lines
        .iter()
        .filter(|line| line.text("request") == id)
        .collect();
    own.sort_by_key(|line| line.at_ms);
    let first = own.first()?.at_ms;
    let last = own.last()?.at_ms;
    let boxes: BTreeSet<&str> = own.iter().map(|line| line.box_name.as_str()).collect();
    let endpoints: BTreeSet<&str> = own.iter().flat_map(|line| line.endpoints()).collect();
    let mut believed: BTreeMap<(&str, &str, &str), &StoryLine> = BTreeMap::new();
    for line in lines.iter().filter(|line| line.at_ms <= last) {
        let (box_name, kind) = (line.box_name.as_str(), line.kind());
        let subject = line.text("endpoint");
        let concerns = boxes.contains(box_name) && BELIEFS.contains(&kind);
        if concerns && (subject.is_empty() || endpoints.contains(subject)) {
            let known = believed.entry((box_name, kind, subject)).or_insert(line);
            if known.at_ms <= line.at_ms {
                *known = line;
            }
        }
    }
    let mut believed: Vec<&StoryLine> = believed.into_values().collect();
    believed.sort_by_key(|line| line.at_ms);
    let mut story = format!("request {id}; times in milliseconds from its first line\n\nbefore:\n");
    for line in &believed {
        story.push_str(&line.render(first));
        story.push('\n');
    }
    story.push_str("\nthe request:\n");
    for line in &own {
        story.push_str(&line.render(first));
        story.push('\n');
    }
    Some(story)
}

fn read_logs(files: &[PathBuf]) -> Result<String, CtlError> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|cause| CtlError::File("read", "standard input".to_owned(), cause))?;
    }
    for file in files {
        let name = file.display().to_string();
        let bytes = std::fs::read(file).map_err(|cause| CtlError::File("read", name, cause))?;
        // A log that was cut inside a character is still worth reading.
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    Ok(text)
}

/// Prints the story of a request.
///
/// # Errors
///
/// Returns an error where a file cannot be read, or no line names the request.
pub(crate) fn print_story(id: &str, files: &[PathBuf]) -> Result<(), CtlError> {
    let text = read_logs(files)?;
    let lines: Vec<StoryLine> = text.lines().filter_map(StoryLine::parse).collect();
    let story = explain(id, &lines).ok_or_else(|| {
        CtlError::Intent(format!(
            "{} lines with events, none of which names {id}",
            lines.len()
        ))
    })?;
    print!("{story}");
    Ok(())
}

#[cfg(test)]
mod tests;
