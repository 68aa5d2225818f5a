//! The fairness gap: the maximum difference in service between backlogged workspaces.

use std::collections::{BTreeMap, HashMap};

/// The service of one workspace at one point in time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServicePoint {
    /// Service units received so far, divided by the share.
    pub level: f64,
    /// Whether it has been backlogged since the last point.
    pub backlogged: bool,
}

/// Range of the difference in service between two workspaces since both are backlogged.
#[derive(Debug, Clone, Copy, Default)]
struct PairDrift {
    min: f64,
    max: f64,
}

/// Tracks the service of every pair of backlogged workspaces in one pool.
#[derive(Debug, Default)]
pub struct GapMeter {
    pairs: HashMap<(String, String), PairDrift>,
    worst: f64,
    last: BTreeMap<String, ServicePoint>,
    backlogged_level: f64,
    backlogged_seconds: f64,
}

impl GapMeter {
    /// Adds a sample of all workspaces, `seconds` after the last one.
    pub fn add(&mut self, points: BTreeMap<String, ServicePoint>, seconds: f64) {
        let backlogged: Vec<(&String, &ServicePoint)> = points
            .iter()
            .filter(|(_, point)| point.backlogged)
            .collect();
        let mut pairs = HashMap::new();
        for (index, (a, first)) in backlogged.iter().enumerate() {
            for (b, second) in &backlogged[index + 1..] {
                let difference = first.level - second.level;
                let key = ((*a).clone(), (*b).clone());
                let known = self.pairs.get(&key);
                let drift = PairDrift {
                    min: known.map_or(difference, |known| known.min.min(difference)),
                    max: known.map_or(difference, |known| known.max.max(difference)),
                };
                self.worst = self.worst.max(drift.max - drift.min);
                pairs.insert(key, drift);
            }
        }
        for (name, point) in &backlogged {
            if let Some(last) = self.last.get(*name) {
                self.backlogged_level += point.level - last.level;
                self.backlogged_seconds += seconds;
            }
        }
        self.pairs = pairs;
        self.last = points;
    }

    /// Returns the worst gap, in service units divided by the share.
    pub const fn worst_level(&self) -> f64 {
        self.worst
    }

    /// Returns the service units per second of a backlogged workspace, divided by the share.
    pub fn fair_rate(&self) -> f64 {
        match self.backlogged_seconds > 0.0 {
            true => self.backlogged_level / self.backlogged_seconds,
            false => 0.0,
        }
    }

    /// Returns the worst gap in seconds of service at the fair rate.
    pub fn worst_seconds(&self) -> f64 {
        match self.fair_rate() {
            rate if rate > 0.0 => self.worst / rate,
            _ => 0.0,
        }
    }
}

#[cfg(test)]
mod tests;
