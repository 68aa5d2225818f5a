//! Parsed log lines of boxes.
//!
//! Logs may come from several files in any order, be truncated and be mixed with other text; lines
//! without a JSON object that has an event are skipped.

use crate::error::CtlError;
use serde_json::{Map, Value};
use std::io::Read;
use std::path::PathBuf;

/// Line of a box's log that has an event.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct LogLine {
    /// Time of day at the box, in Unix milliseconds.
    pub(crate) at_ms: u64,
    /// Name of the box that wrote the line.
    pub(crate) box_name: String,
    event: Map<String, Value>,
}

impl LogLine {
    /// Parses a line; text before the JSON object is skipped.
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

    /// Returns a string field of the event, or an empty string if there is none.
    pub(crate) fn text(&self, name: &str) -> &str {
        self.event
            .get(name)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    /// Returns the endpoint of the event and the engines that were asked for admission.
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

    /// Returns the name of the event.
    pub(crate) fn kind(&self) -> &str {
        self.text("event")
    }

    /// Formats the line as text: time since `since_ms`, box, event and its fields.
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

    /// Returns an unsigned integer field of the event.
    pub(crate) fn number(&self, name: &str) -> Option<u64> {
        self.event.get(name)?.as_u64()
    }

    /// Returns the shortest wait predicted by the engines that were asked for admission, in
    /// milliseconds.
    pub(crate) fn shortest_wait_ms(&self) -> Option<u64> {
        let asked = self.event.get("asked")?.as_array()?;
        let waits = asked
            .iter()
            .filter_map(|asked| asked.get("first_event_ms")?.as_u64());
        waits.min()
    }
}

/// Reads the lines with events from files, or from standard input if no file is given.
///
/// # Errors
///
/// Returns an error if a file cannot be read.
pub(crate) fn read_lines(files: &[PathBuf]) -> Result<Vec<LogLine>, CtlError> {
    let mut text = String::new();
    if files.is_empty() {
        let read = std::io::stdin().read_to_string(&mut text);
        read.map_err(|cause| CtlError::File("read", "standard input".to_owned(), cause))?;
    }
    for file in files {
        let name = file.display().to_string();
        let bytes = std::fs::read(file).map_err(|cause| CtlError::File("read", name, cause))?;
        // A log may be truncated within a character.
        text.push_str(&String::from_utf8_lossy(&bytes));
        text.push('\n');
    }
    Ok(text.lines().filter_map(LogLine::parse).collect())
}
