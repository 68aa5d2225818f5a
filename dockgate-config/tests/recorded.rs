//! Compatibility with recorded configuration values: each is decoded, encoded again and compared
//! byte for byte.
//!
//! A line of a file is a value, or what is decoded and the expected encoding, separated by a tab.
//! The files are edited by hand: to add a value or to record an intended change of the format, copy
//! the encoding that the failed test prints.

use dockgate_config::ConfigHead;
use dockgate_core::{ConfigEntry, ConfigPlan, FleetConfig};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Decodes each value and compares its encoding with the recorded one.
fn assert_encoded_as_recorded<T: Serialize + DeserializeOwned>(recorded: &str) {
    assert!(!recorded.is_empty());
    for line in recorded.lines() {
        let (input, expected) = line.split_once('\t').unwrap_or((line, line));
        let value: T = serde_json::from_str(input).expect(input);
        assert_eq!(serde_json::to_string(&value).unwrap(), expected);
    }
}

#[test]
fn heads_are_encoded_as_recorded() {
    assert_encoded_as_recorded::<ConfigHead>(include_str!("recorded/config_head.json"));
}

#[test]
fn entries_are_encoded_as_recorded() {
    assert_encoded_as_recorded::<ConfigEntry>(include_str!("recorded/config_entry.json"));
}

#[test]
fn plans_are_encoded_as_recorded() {
    assert_encoded_as_recorded::<ConfigPlan>(include_str!("recorded/config_plan.json"));
}

#[test]
fn fleet_configs_are_encoded_as_recorded() {
    assert_encoded_as_recorded::<FleetConfig>(include_str!("recorded/fleet_config.json"));
}
