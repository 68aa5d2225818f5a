//! Tests that are known to fail for a real fault: CI skips exactly these and prints them.
//!
//! A line of `KNOWN-RED.txt` has four fields, separated by ` | `: full name of the test, command
//! with its seed, observed failure, and issue.

use std::io::ErrorKind;

const FILE: &str = "KNOWN-RED.txt";
/// Maximum number of entries, so that the list stays an exception.
const MAX_ENTRIES: usize = 8;

/// Reads the names of the tests to skip and prints their entries.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or is invalid.
pub(crate) fn read_known_red() -> Result<Vec<String>, String> {
    let text = match std::fs::read_to_string(FILE) {
        Ok(text) => text,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
        Err(error) => return Err(format!("read {FILE}: {error}")),
    };
    let names = parse(&text)?;
    for line in text.lines() {
        eprintln!("xtask: known red: {line}");
    }
    Ok(names)
}

/// Returns whether a name can be that of a test of the harness.
///
/// Entries also name runs by hand, in words. `rustdoc` splits such a name at its spaces and takes the
/// words for filters, so that no documentation test would run.
pub(crate) fn is_harness_name(name: &str) -> bool {
    !name.contains(char::is_whitespace)
}

fn parse(text: &str) -> Result<Vec<String>, String> {
    let lines: Vec<&str> = text.lines().filter(|line| !line.is_empty()).collect();
    if lines.len() > MAX_ENTRIES {
        return Err(format!(
            "{FILE}: {} entries, at most {MAX_ENTRIES} allowed",
            lines.len()
        ));
    }
    let names = lines.iter().map(|line| {
        let parts: Vec<&str> = line.split(" | ").collect();
        match parts[..] {
            [name, command, failure, issue] if ![name, command, failure, issue].contains(&"") => {
                Ok(name.to_owned())
            }
            _ => Err(format!(
                "{FILE}: expected 'test | command | failure | issue', found: {line}"
            )),
        }
    });
    names.collect()
}

#[cfg(test)]
mod tests;
