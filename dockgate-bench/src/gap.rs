//! The fairness gap: how far apart the service of backlogged workspaces drifts.

use std::collections::{BTreeMap, HashMap};

/// One workspace at one moment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ServicePoint {
    /// Service units given so far, for a share of one.
    pub level: f64,
    /// Whether it has been backlogged since the last moment.
    pub backlogged: bool,
}

/// How far the service of two workspaces drifted since both were backlogged.
#[derive(Debug, Clone, Copy, Default)]
struct PairDrift {
    least: f64,
    most: f64,
}

/// Follows the service of every pair of backlogged workspaces in one pool.
#[derive(Debug, Default)]
pub struct GapMeter {
    pairs: HashMap<(String, String), PairDrift>,
    worst: f64,
    last: BTreeMap<String, ServicePoint>,
    backlogged_level: f64,
    backlogged_seconds: f64,
}

impl GapMeter {
    /// Takes in a moment; `seconds` have passed since the last one.
    pub fn add(&mut self, points: BTreeMap<String, ServicePoint>, seconds: f64) {
        let backlogged: Vec<(&String, &ServicePoint)> = points
            .iter()
            .filter(|(_, point)| point.backlogged)
            .collect();
        let mut pairs = HashMap::new();
        for (index, (a, first)) in backlogged.iter().enumerate() {
            for (b, second) in &backlogged[index + 1..] {
                let apart = first.level - second.level;
                let key = ((*a).clone(), (*b).clone());
                let known = self.pairs.get(&key);
                let drift = PairDrift {
                    least: known.map_or(apart, |known| known.least.min(apart)),
                    most: known.map_or(apart, |known| known.most.max(apart)),
                };
                self.worst = self.worst.max(drift.most - drift.least);
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

    /// Returns the worst gap, in service units for a share of one.
    pub const fn worst_level(&self) -> f64 {
        self.worst
    }

    /// Returns what a backlogged workspace gets a second, for a share of one.
    pub fn fair_rate(&self) -> f64 {
        match self.backlogged_seconds > 0.0 {
            true => self.backlogged_level / self.backlogged_seconds,
            false => 0.0,
        }
    }

    /// Returns the worst gap in seconds of a backlogged workspace's fair rate.
    pub fn worst_seconds(&self) -> f64 {
        match self.fair_rate() {
            rate if rate > 0.0 => self.worst / rate,
            _ => 0.0,
        }
    }
}

#[cfg(test)]
mod tests;
