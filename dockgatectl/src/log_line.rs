//! One line of a box's log, as it is read for people.
//!
//! Logs may come from several files in any order, cut at their ends, and mixed with other text; a
//! line counts if a JSON object with an event stands in it.

use crate::error::CtlError;
use serde_json::{Map, Value};
use std::io::Read;
use std::path::PathBuf;

/// One line of a box's log.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct StoryLine {
    /// When, in milliseconds of the box's time of day.
    pub(crate) at_ms: u64,
    /// The box that wrote it.
    pub(crate) box_name: String,
    event: Map<String, Value>,
}

impl StoryLine {
    /// Reads a line; text before the object is passed over.
    pub(crate) fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        let value: Value = serde_json::from_str(line[start..].trim_end()).ok()?;
        let event = value.get("event")?.as_object()?.clone();
        Some(Self {
            at_ms: value.get("at_ms")?.as_u64()?,
            box_name: value.get("box")?.as_str()?.to_owned(),
            event,
        })
    }

    /// Returns a field of the event that is a text; empty where it has none.
    pub(crate) fn text(&self, name: &str) -> &str {
        self.event
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the endpoints that the line names: its own, and those that were asked.
    pub(crate) fn endpoints(&self) -> Vec<&str> {
        let asked = self.event.get("asked").and_then(Value::as_array);
        let asked = asked
            .into_iter()
            .flatten()
            .filter_map(|asked| asked.get("endpoint")?.as_str());
        std::iter::once(self.text("endpoint"))
            .chain(asked)
            .collect()
    }

    /// Returns what happened.
    pub(crate) fn kind(&self) -> &str {
        self.text("event")
    }

    /// Writes the line for people: time, box, event, and its fields in order.
    pub(crate) fn render(&self, since_ms: u64) -> String {
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

    /// Returns a field of the event that is a whole number.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.event.get(name)?.as_u64()
    }

    /// Returns the shortest wait that the engines which were asked predicted, in milliseconds.
    pub(crate) fn shortest_wait_ms(&self) -> Option<u64> {
        let asked = self.event.get("asked")?.as_array()?;
        let waits = asked
            .iter()
            .filter_map(|asked| asked.get("first_event_ms")?.as_u64());
        waits.min()
    }
}

/// Reads the lines with events from files, or from the standard input where there are none.
///
/// # Errors
///
/// Returns an error where a file cannot be read.
pub(crate) fn read_lines(files: &[PathBuf]) -> Result<Vec<StoryLine>, CtlError> {
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
    Ok(text.lines().filter_map(StoryLine::parse).collect())
}
