//! Report on lost requests, assembled from the logs of all boxes.
//!
//! It has three tables: refusals by reason and route, with the shortest wait predicted by the
//! engines that were asked for admission; delays of first events compared to the estimate; and
//! failures at endpoints. Log lines of refusals are rate-limited and those of answers sampled, so
//! counts can be compared within a table but not between tables.

use crate::error::CtlError;
use crate::log_line::{LogLine, read_lines};
use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;

/// Upper bounds of the buckets of expected first events, in milliseconds; the last bucket is open.
const BUCKET_BOUNDS_MS: [u64; 6] = [50, 100, 150, 200, 300, 600];

/// Values whose quantiles are shown.
#[derive(Debug, Default)]
struct ValueDistribution(Vec<i64>);

impl ValueDistribution {
    fn quantile(&self, fraction: f64) -> i64 {
        let last = self.0.len().saturating_sub(1);
        let index = (last as f64 * fraction).round() as usize;
        self.0.get(index).copied().unwrap_or(0)
    }

    /// Returns the table row with the count and the 10 %, 50 % and 90 % quantiles.
    fn row(&mut self, name: &str) -> String {
        self.0.sort_unstable();
        let quantiles = [0.1, 0.5, 0.9].map(|fraction| self.quantile(fraction));
        format!(
            "{name:<44} {:>7} {:>7} {:>7} {:>7}\n",
            self.0.len(),
            quantiles[0],
            quantiles[1],
            quantiles[2]
        )
    }
}

type Distributions = BTreeMap<String, ValueDistribution>;

fn table(title: &str, distributions: Distributions) -> String {
    let mut text = format!(
        "{title:<44} {:>7} {:>7} {:>7} {:>7}\n",
        "count", "10%", "50%", "90%"
    );
    for (name, mut distribution) in distributions {
        text.push_str(&distribution.row(&name));
    }
    text
}

fn refusals(lines: &[LogLine]) -> Distributions {
    let mut distributions = Distributions::new();
    for line in lines.iter().filter(|line| line.kind() == "refused") {
        let name = format!("{} {}", line.text("reason"), line.text("route"));
        let wait_ms = line.shortest_wait_ms().unwrap_or(0);
        distributions
            .entry(name)
            .or_default()
            .0
            .push(wait_ms as i64);
    }
    distributions
}

fn bucket_name(expected_ms: u64) -> String {
    let bound = BUCKET_BOUNDS_MS.iter().position(|end| expected_ms < *end);
    let index = bound.unwrap_or(BUCKET_BOUNDS_MS.len());
    let start = index
        .checked_sub(1)
        .map_or(0, |index| BUCKET_BOUNDS_MS[index]);
    let end = bound.map_or_else(String::new, |index| BUCKET_BOUNDS_MS[index].to_string());
    // Padded so that names sort by their start.
    format!("expected after {start:>4} to {end} ms")
}

/// Returns the delays of first events compared to the estimate, by bucket of the estimate.
fn lateness(lines: &[LogLine]) -> Distributions {
    let sent = lines.iter().filter(|line| line.kind() == "sent");
    let sent = sent.filter(|line| line.number("attempt") == Some(1));
    let expected: HashMap<&str, u64> = sent
        .filter_map(|line| Some((line.text("request"), line.number("expected_ms")?)))
        .collect();
    let mut distributions = Distributions::new();
    for line in lines.iter().filter(|line| line.kind() == "answered") {
        let Some(expected_ms) = expected.get(line.text("request")) else {
            continue;
        };
        let is_single = line.number("attempts") == Some(1);
        if let Some(first_ms) = line.number("first_ms").filter(|_| is_single) {
            let late_ms = first_ms as i64 - *expected_ms as i64;
            distributions
                .entry(bucket_name(*expected_ms))
                .or_default()
                .0
                .push(late_ms);
        }
    }
    distributions
}

fn failures(lines: &[LogLine]) -> Distributions {
    let mut distributions = Distributions::new();
    for line in lines {
        let problem = match line.kind() {
            "send_failed" => line.text("problem"),
            "broken_off" => line.text("reason"),
            _ => continue,
        };
        let took_ms = line.number("took_ms").unwrap_or(0);
        let name = format!("{}: {problem}", line.kind());
        distributions
            .entry(name)
            .or_default()
            .0
            .push(took_ms as i64);
    }
    distributions
}

fn loss_report(lines: &[LogLine]) -> String {
    let refused = table("refused; shortest predicted wait, ms", refusals(lines));
    let late = table("first events; later than expected, ms", lateness(lines));
    let failed = table("failed at endpoints; after, ms", failures(lines));
    format!("{refused}\n{late}\n{failed}")
}

/// Prints the report on lost requests.
///
/// # Errors
///
/// Returns an error if a file cannot be read or no line has an event.
pub(crate) fn print_losses(files: &[PathBuf]) -> Result<(), CtlError> {
    let lines = read_lines(files)?;
    if lines.is_empty() {
        return Err(CtlError::Invalid("no line with an event".to_owned()));
    }
    print!("{}", loss_report(&lines));
    Ok(())
}

#[cfg(test)]
mod tests;
