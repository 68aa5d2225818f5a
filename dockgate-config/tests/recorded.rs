//! Stored configuration as an earlier build wrote it: each value is read, written again and compared byte for byte.
//!
//! A line of a file is a value; where a tab stands in it, what is read stands before and what is written again behind.
//! To add a value or to record a form that was changed on purpose, edit its line by hand: a test that fails prints
//! what is written now. Nothing rewrites the files.

use dockgate_config::ConfigHead;
use dockgate_core::{ConfigEntry, ConfigPlan, FleetConfig};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Reads each value and compares what is written again.
fn assert_written_alike<T: Serialize + DeserializeOwned>(recorded: &str) {
    assert!(!recorded.is_empty());
    for line in recorded.lines() {
        let (read, written) = line.split_once('\t').unwrap_or((line, line));
        let value: T = serde_json::from_str(read).expect(read);
        assert_eq!(serde_json::to_string(&value).unwrap(), written);
    }
}

#[test]
fn recorded_heads_are_read_and_written_alike() {
    assert_written_alike::<ConfigHead>(include_str!("recorded/config_head.json"));
}

#[test]
fn recorded_entries_are_read_and_written_alike() {
    assert_written_alike::<ConfigEntry>(include_str!("recorded/config_entry.json"));
}

#[test]
fn recorded_plans_are_read_and_written_alike() {
    assert_written_alike::<ConfigPlan>(include_str!("recorded/config_plan.json"));
}

#[test]
fn recorded_fleet_configs_are_read_and_written_alike() {
    assert_written_alike::<FleetConfig>(include_str!("recorded/fleet_config.json"));
}
