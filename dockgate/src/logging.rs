//! Logging as JSON lines, with one line for each decision.

mod line_rate_limiter;
mod line_writer;

pub(crate) use line_rate_limiter::LineRateLimiter;
pub(crate) use line_writer::{dropped_lines, flush_lines};

use crate::clock::unix_ms;
use env_logger::{Builder, Env, Target};
use line_writer::LineWriter;
use serde::Serialize;
use std::io::Write;

/// Log target of records whose message is a JSON object.
const EVENT_TARGET: &str = "event";

#[derive(Serialize)]
struct LogLine<'a> {
    at_ms: u64,
    level: &'a str,
    #[serde(rename = "box")]
    name: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    module: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    event: Option<Box<serde_json::value::RawValue>>,
}

/// Initializes logging. `DOCKGATE_LOG` sets the `env_logger` filter, which is `info` by default.
pub(crate) fn init(name: &str) {
    let name = name.to_owned();
    let target = match LineWriter::start(std::io::stdout()) {
        Ok(writer) => Target::Pipe(Box::new(writer)),
        // If the thread cannot be started, the lines are written synchronously.
        Err(_) => Target::Stdout,
    };
    Builder::from_env(Env::new().filter_or("DOCKGATE_LOG", "info,jsonrpsee=error"))
        .format(move |out, record| {
            let text = record.args().to_string();
            let event = match record.target() {
                EVENT_TARGET => serde_json::value::RawValue::from_string(text.clone()).ok(),
                _ => None,
            };
            let line = LogLine {
                at_ms: unix_ms(),
                level: record.level().as_str(),
                name: &name,
                module: event.is_none().then(|| record.module_path()).flatten(),
                message: event.is_none().then_some(text),
                event,
            };
            let line = serde_json::to_string(&line).unwrap_or_default();
            writeln!(out, "{line}")
        })
        .target(target)
        .init();
}

/// An event, logged as typed fields of one line.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(crate) enum LogEvent<'a> {
    /// A request was assigned to an endpoint.
    Routed {
        request: &'a str,
        workspace: &'a str,
        pool: &'a str,
        endpoint: &'a str,
        scheduler: String,
        grant: String,
        attempt: u32,
        waited_ms: u64,
    },
    /// A request has ended.
    Ended {
        request: &'a str,
        workspace: &'a str,
        outcome: &'a str,
        step: &'a str,
        cost: u64,
        took_ms: u64,
    },
    /// A slot was granted to a workspace.
    Granted {
        grant: String,
        pool: u32,
        workspace: u32,
        endpoint: u32,
        entry: String,
    },
    /// A running stream was asked to release its slot temporarily.
    PauseAsked { grant: String, entry: String },
    /// A configuration took effect.
    Configured { version: u64, source: &'a str },
    /// The set of endpoints that this box schedules changed.
    Owned { endpoints: usize, boxes: usize },
    /// A link to a peer opened or closed.
    Link {
        peer: &'a str,
        up: bool,
        reason: String,
    },
    /// A connection of a caller, peer or operator was rejected by a listener.
    TurnedAway {
        door: &'a str,
        peer: String,
        reason: &'a str,
    },
    /// A peer's message with an unknown reference was ignored.
    Ignored {
        step: &'a str,
        peer: String,
        reason: &'a str,
    },
    /// The daemon changed its lifecycle state.
    Lifecycle { state: &'a str },
}

/// Writes an event as one line.
pub(crate) fn log_event(event: &LogEvent) {
    log_line(event);
}

/// Writes a serializable value as one line.
pub(crate) fn log_line(event: &impl Serialize) {
    if log::log_enabled!(target: EVENT_TARGET, log::Level::Info) {
        let text = serde_json::to_string(event).unwrap_or_default();
        log::info!(target: EVENT_TARGET, "{text}");
    }
}

#[cfg(test)]
mod tests;
