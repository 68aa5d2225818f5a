//! Which part of its requests a box that runs out of processor refuses, and whose.
//!
//! All callers of a large workspace may be at one small box while the others are idle: new connections
//! go to a box by a hash of who calls, and connections stay where they are. So a flood is not spread
//! by refusing it; it comes back to the same box until whoever places new connections has seen that
//! this box wants none. Then each connection that ends is made again at another box: the box ends
//! those of just as many requests as it cannot serve, and keeps the others busy.
//!
//! What it cannot serve is measured: the part of the time in which it had work, over what it took and
//! refused in that time, is what a request costs. Requests of each workspace are taken up to one
//! level, as in max-min sharing: who asks for little at this box is not refused.
//!
//! ```
//! use dockgate_core::gateway::LoadShedder;
//!
//! let mut shed = LoadShedder::default();
//! (0..90).for_each(|_| shed.record_request(1));
//! (0..10).for_each(|_| shed.record_request(2));
//! shed.record_sample(1.0, 0, 1_000);
//! assert!(shed.refused_fraction(1) > 0.0);
//! assert_eq!(shed.refused_fraction(2), 0.0);
//! ```

use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

/// What a box takes of its requests, and how it asks for fewer.
#[derive(Debug, Clone)]
pub struct LoadShedder {
    /// The part that is taken, 0 to 1.
    admitted_fraction: f64,
    /// Requests of each workspace since the last sample.
    counted: HashMap<u64, u32>,
    /// How many of them were refused.
    refused_count: u32,
    /// What a request costs that is taken, in milliseconds of this box's time.
    cost_ms: Option<f64>,
    /// The part that is refused of each workspace that asks for more than the level.
    refused: HashMap<u64, f64>,
    /// Until when new connections should go elsewhere.
    divert_until_ms: u64,
    /// How many times in a row whoever places them was told so.
    unready_answers: u32,
}

impl Default for LoadShedder {
    fn default() -> Self {
        Self {
            admitted_fraction: 1.0,
            counted: HashMap::new(),
            refused_count: 0,
            cost_ms: None,
            refused: HashMap::new(),
            divert_until_ms: 0,
            unready_answers: 0,
        }
    }
}

impl LoadShedder {
    /// How often the work is looked at, in milliseconds: a share of the processor may be given out a
    /// tenth of a second at a time, and being without it for the rest looks like work.
    pub const SAMPLE_MS: u64 = 100;
    /// Up to which part of the time a box may have work: requests that arrive together wait for each
    /// other above. A bound.
    const MAX_BUSY_FRACTION: f64 = 0.85;
    /// What a refusal costs, as a part of what a request costs that is taken: both are read, but a refusal
    /// asks no engine and passes no events on. A start value for want of a measure.
    const REFUSAL_COST_RATIO: f64 = 0.25;
    /// The part of the work that waits already which is to be caught up within a sample. A bound.
    const CATCH_UP_FRACTION: f64 = 0.2;
    /// The weight of the newest sample in the cost of a request: streams go on for about a second after
    /// they were taken.
    const COST_SMOOTHING: f64 = 0.2;
    /// How many requests a sample must have to say what one costs: with fewer, what a box does besides
    /// would count. A bound.
    const MIN_REQUESTS: f64 = 5.0;
    /// As how many samples a late one counts at most: a pause is no work. A bound.
    const MAX_SAMPLES: u64 = 2;
    /// By how much at most the part that is taken falls in one sample, as a factor: one sample alone
    /// may be a pause. A bound.
    const MAX_DECREASE: f64 = 0.6;
    /// The least part that is taken, so that the cost goes on being measured. A bound.
    const MIN_ADMITTED_FRACTION: f64 = 0.05;
    /// Below which part taken new connections should go elsewhere. A bound.
    const DIVERT_BELOW: f64 = 0.9;
    /// For how long they should, in milliseconds: whoever places them looks once a second, and acts on
    /// the second answer.
    const DIVERT_MS: u64 = 3_000;
    /// After how many such answers in a row no new connection comes.
    const UNREADY_THRESHOLD: u32 = 2;
    /// When a refused request should come back while it would come to this box again, in milliseconds:
    /// when new connections go elsewhere, or the flood has passed.
    const LOCAL_RETRY_MS: Range<u64> = 1_000..1_800;
    /// When it should come back once it comes to another box, in milliseconds. Spread, so that a flood
    /// does not arrive there in one piece.
    const DIVERTED_RETRY_MS: Range<u64> = 10..50;

    /// Counts a request of a workspace.
    pub fn record_request(&mut self, workspace: u64) {
        *self.counted.entry(workspace).or_default() += 1;
    }

    /// Counts a request that was refused for want of processor.
    pub const fn record_refusal(&mut self) {
        self.refused_count += 1;
    }

    /// Notes for which part of the time since the last sample the box had work, and by how many
    /// milliseconds it was late with this sample.
    pub fn record_sample(&mut self, busy_fraction: f64, late_ms: u64, now_ms: u64) {
        let counted = std::mem::take(&mut self.counted);
        let refused = f64::from(std::mem::take(&mut self.refused_count));
        let asked: Vec<f64> = counted.values().copied().map(f64::from).collect();
        let total: f64 = asked.iter().sum();
        let passed_ms = (Self::SAMPLE_MS + late_ms) as f64;
        let units = (total - refused).max(0.0) + refused * Self::REFUSAL_COST_RATIO;
        if total >= Self::MIN_REQUESTS {
            let most_ms = (Self::SAMPLE_MS * Self::MAX_SAMPLES) as f64;
            let cost_ms = busy_fraction * passed_ms.min(most_ms) / units;
            let known_ms = self.cost_ms.unwrap_or(cost_ms);
            self.cost_ms = Some(known_ms + (cost_ms - known_ms) * Self::COST_SMOOTHING);
        }
        let next_total = total * Self::SAMPLE_MS as f64 / passed_ms;
        self.admitted_fraction = self
            .affordable_fraction(next_total, late_ms as f64)
            .max(self.admitted_fraction * Self::MAX_DECREASE);
        if self.admitted_fraction < Self::DIVERT_BELOW {
            self.divert_until_ms = now_ms + Self::DIVERT_MS;
        }
        let level = max_min_level(&asked, total * self.admitted_fraction);
        let counted = counted.into_iter();
        let refused = counted.filter_map(|(workspace, count)| {
            let part = 1.0 - level / f64::from(count);
            (part > 0.0).then_some((workspace, part))
        });
        self.refused = refused.collect();
    }

    /// Returns the part of so many requests that the box can take in a sample, if it refuses the rest.
    fn affordable_fraction(&self, total: f64, late_ms: f64) -> f64 {
        let sample_ms = Self::SAMPLE_MS as f64;
        let room_ms = sample_ms * Self::MAX_BUSY_FRACTION - late_ms * Self::CATCH_UP_FRACTION;
        let cost_ms = self.cost_ms.unwrap_or(0.0) * total;
        let part = match cost_ms > 0.0 {
            true => {
                (room_ms / cost_ms - Self::REFUSAL_COST_RATIO) / (1.0 - Self::REFUSAL_COST_RATIO)
            }
            false => 1.0,
        };
        part.clamp(Self::MIN_ADMITTED_FRACTION, 1.0)
    }

    /// Returns the part of a workspace's requests that is refused, 0 to 1.
    pub fn refused_fraction(&self, workspace: u64) -> f64 {
        self.refused.get(&workspace).copied().unwrap_or(0.0)
    }

    /// Tells whether new connections should go to other boxes.
    pub const fn diverts_connections(&self, now_ms: u64) -> bool {
        now_ms < self.divert_until_ms
    }

    /// Notes what whoever places connections was told: whether this box wants new ones.
    pub const fn record_readiness(&mut self, is_ready: bool) {
        self.unready_answers = match is_ready {
            true => 0,
            false => self.unready_answers.saturating_add(1),
        };
    }

    /// Tells whether a new connection comes to another box by now.
    pub const fn is_out_of_rotation(&self) -> bool {
        self.unready_answers >= Self::UNREADY_THRESHOLD
    }

    /// Returns when a refused request should come back; `draw` is a random number from 0 to 1.
    pub fn retry_after(&self, draw: f64) -> Duration {
        let Range { start, end } = match self.is_out_of_rotation() {
            true => Self::DIVERTED_RETRY_MS,
            false => Self::LOCAL_RETRY_MS,
        };
        let more = (end - start) as f64 * draw.clamp(0.0, 1.0);
        Duration::from_millis(start + more as u64)
    }

    /// Returns the part of all requests that is taken, 0 to 1.
    pub const fn admitted_fraction(&self) -> f64 {
        self.admitted_fraction
    }
}

/// Returns the level up to which everyone is served when `capacity` is divided by max-min.
pub(super) fn max_min_level(asked: &[f64], capacity: f64) -> f64 {
    let mut asked = asked.to_vec();
    asked.sort_by(f64::total_cmp);
    let mut left = capacity;
    for (index, ask) in asked.iter().enumerate() {
        let even = left / (asked.len() - index) as f64;
        if *ask > even {
            return even;
        }
        left -= ask;
    }
    f64::INFINITY
}

#[cfg(test)]
mod tests;
