//! Tests that are known to fail for a real fault: CI passes over just these, and prints them.
//!
//! `KNOWN-RED.txt` names one a line: the test's full name, the command with its seed, what was seen, and the issue,
//! parted by ` | `.

use std::io::ErrorKind;

const FILE: &str = "KNOWN-RED.txt";
/// How many there may be: more would make a list of it that nobody mends.
const MOST: usize = 8;

/// Reads the names of the tests that are passed over, and prints their lines.
///
/// # Errors
///
/// Returns what is wrong with the file.
pub(crate) fn known_red() -> Result<Vec<String>, String> {
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

fn parse(text: &str) -> Result<Vec<String>, String> {
    let lines: Vec<&str> = text.lines().filter(|line| !line.is_empty()).collect();
    if lines.len() > MOST {
        return Err(format!("{FILE}: {} lines, {MOST} at most", lines.len()));
    }
    let names = lines.iter().map(|line| {
        let parts: Vec<&str> = line.split(" | ").collect();
        match parts[..] {
            [name, command, seen, issue] if ![name, command, seen, issue].contains(&"") => {
                Ok(name.to_owned())
            }
            _ => Err(format!(
                "{FILE}: not 'test | command | seen | issue': {line}"
            )),
        }
    });
    names.collect()
}

#[cfg(test)]
mod tests;
