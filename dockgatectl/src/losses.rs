//! Where requests are lost, put together from the logs of all boxes.
//!
//! Three tables: refusals by reason and route with the shortest wait that the engines asked predicted;
//! first events, how late they came against what was expected; and what failed at endpoints. Refusals
//! are in the logs up to a rate, answers for one request in so many, so counts compare within a table
//! and not between tables.

use crate::error::CtlError;
use crate::story_line::{StoryLine, read_lines};
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;

/// Upper ends of the bands of expected first events, in milliseconds; the last one is open.
const BANDS_MS: [u64; 6] = [50, 100, 150, 200, 300, 600];

/// Values whose spread is told.
#[derive(Debug, Default)]
struct ValueSpread(Vec<i64>);

impl ValueSpread {
    fn at(&self, part: f64) -> i64 {
        let last = self.0.len().saturating_sub(1);
        let index = (last as f64 * part).round() as usize;
        self.0.get(index).copied().unwrap_or(0)
    }

    /// Writes the count, and the tenth, the middle and the ninth tenth of the values.
    fn row(&mut self, name: &str) -> String {
        self.0.sort_unstable();
        let tenths = [0.1, 0.5, 0.9].map(|part| self.at(part));
        format!(
            "{name:<44} {:>7} {:>7} {:>7} {:>7}\n",
            self.0.len(),
            tenths[0],
            tenths[1],
            tenths[2]
        )
    }
}

type Spreads = BTreeMap<String, ValueSpread>;

fn table(title: &str, spreads: Spreads) -> String {
    let mut text = format!(
        "{title:<44} {:>7} {:>7} {:>7} {:>7}\n",
        "count", "10%", "50%", "90%"
    );
    for (name, mut spread) in spreads {
        text.push_str(&spread.row(&name));
    }
    text
}

fn refusals(lines: &[StoryLine]) -> Spreads {
    let mut spreads = Spreads::new();
    for line in lines.iter().filter(|line| line.kind() == "refused") {
        let name = format!("{} {}", line.text("reason"), line.text("route"));
        let wait_ms = line.shortest_wait_ms().unwrap_or(0);
        spreads.entry(name).or_default().0.push(wait_ms as i64);
    }
    spreads
}

fn band(expected_ms: u64) -> String {
    let below = BANDS_MS.iter().position(|end| expected_ms < *end);
    let index = below.unwrap_or(BANDS_MS.len());
    let start = index.checked_sub(1).map_or(0, |index| BANDS_MS[index]);
    let end = below.map_or_else(String::new, |index| BANDS_MS[index].to_string());
    // Sorted by their start.
    format!("expected after {start:>4} to {end} ms")
}

/// Pairs what was expected when a prompt was sent with when its first event came.
fn lateness(lines: &[StoryLine]) -> Spreads {
    let sent = lines.iter().filter(|line| line.kind() == "sent");
    let sent = sent.filter(|line| line.number("attempt") == Some(1));
    let expected: HashMap<&str, u64> = sent
        .filter_map(|line| Some((line.text("request"), line.number("expected_ms")?)))
        .collect();
    let mut spreads = Spreads::new();
    for line in lines.iter().filter(|line| line.kind() == "answered") {
        let Some(expected_ms) = expected.get(line.text("request")) else {
            continue;
        };
        let once = line.number("attempts") == Some(1);
        if let Some(first_ms) = line.number("first_ms").filter(|_| once) {
            let late_ms = first_ms as i64 - *expected_ms as i64;
            spreads
                .entry(band(*expected_ms))
                .or_default()
                .0
                .push(late_ms);
        }
    }
    spreads
}

fn failures(lines: &[StoryLine]) -> Spreads {
    let mut spreads = Spreads::new();
    for line in lines {
        let problem = match line.kind() {
            "send_failed" => line.text("problem"),
            "broken_off" => line.text("reason"),
            _ => continue,
        };
        let took_ms = line.number("took_ms").unwrap_or(0);
        let name = format!("{}: {problem}", line.kind());
        spreads.entry(name).or_default().0.push(took_ms as i64);
    }
    spreads
}

fn losses(lines: &[StoryLine]) -> String {
    let refused = table("refused; shortest predicted wait, ms", refusals(lines));
    let late = table("first events; later than expected, ms", lateness(lines));
    let failed = table("failed at endpoints; after, ms", failures(lines));
    format!("{refused}\n{late}\n{failed}")
}

/// Prints where requests were lost.
///
/// # Errors
///
/// Returns an error where a file cannot be read, or has no line with an event.
pub(crate) fn print_losses(files: &[PathBuf]) -> Result<(), CtlError> {
    let lines = read_lines(files)?;
    if lines.is_empty() {
        return Err(CtlError::Intent("no line with an event".to_owned()));
    }
    print!("{}", losses(&lines));
    Ok(())
}

#[cfg(test)]
mod tests;
