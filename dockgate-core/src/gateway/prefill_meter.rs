//! Measures how fast one engine prefills prompts.
//!
//! Handles engines that are 2.5 times slower for 600 ms at a time, in one of seven such phases. The
//! times of [`PrefillModel`] predict single first events and follow each slow phase. An engine's
//! share of the prompts depends on its speed over several seconds instead: the work prefilled in
//! the time for which the engine had prompts to prefill, with slow intervals left out.
//!
//! ```
//! use dockgate_core::gateway::{FixedTime, MeterSample, PrefillMeter, PrefillWork};
//!
//! let mut meter = PrefillMeter::default();
//! for number in 0..20 {
//!     let work = PrefillWork::new(0, 2_000);
//!     meter.record(MeterSample { work, busy_ms: 110.0, was_idle: true }, number * 150);
//! }
//! let fixed = FixedTime { ms: 30.0, deviation_ms: 5.0 };
//! assert!((meter.rate(fixed).unwrap() - 25.0).abs() < 0.1);
//! ```

use super::prefill_model::{PrefillModel, PrefillWork};
use std::collections::VecDeque;

/// The work of a first event and the time that it took.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MeterSample {
    /// The prefill work of its prompt.
    pub work: PrefillWork,
    /// The time since the previous first event, or since the oldest waiting prompt was placed if
    /// the engine was idle, in milliseconds.
    pub busy_ms: f64,
    /// Whether the engine was idle when that prompt was placed, so that the fixed time of a first
    /// event is included.
    pub was_idle: bool,
}

/// The fixed time of a first event and its standard deviation, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FixedTime {
    /// The fixed time.
    pub ms: f64,
    /// The standard deviation.
    pub deviation_ms: f64,
}

/// The first events within an interval.
#[derive(Debug, Clone, Copy, PartialEq)]
struct MeterInterval {
    /// When the engine began with the first prompt, and when the last first event arrived.
    began_ms: u64,
    ended_ms: u64,
    /// The time that the work would take at the initial speed of the model, in milliseconds.
    nominal_ms: f64,
    /// The busy time, including the fixed time of `idle_starts` first events.
    busy_ms: f64,
    idle_starts: u32,
}

impl MeterInterval {
    fn span_ms(&self) -> u64 {
        (self.ended_ms - self.began_ms).max(PrefillMeter::INTERVAL_MS)
    }

    /// Returns the speed relative to the initial one of the model.
    fn speed(&self, fixed_ms: f64) -> f64 {
        let busy_ms = self.busy_ms - f64::from(self.idle_starts) * fixed_ms;
        // First events that arrive together leave no busy time in an interval.
        self.nominal_ms / busy_ms.max(1.0)
    }
}

/// The prefill work and the busy time of one engine in its latest intervals.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct PrefillMeter {
    intervals: VecDeque<MeterInterval>,
    samples: u32,
}

impl PrefillMeter {
    /// The length of an interval in milliseconds: half a slow phase, so that a phase affects few.
    const INTERVAL_MS: u64 = 300;
    /// The length of all intervals with first events that are kept, in milliseconds.
    const WINDOW_MS: u64 = 6_000;
    /// The portion of this time in which the engine was slower than the stated rate. Slow phases
    /// rarely affect as much, while an engine that becomes slower is noticed after 4.2 s. With the
    /// median, one of a hundred measurements of equal engines was off by a factor of 1.4.
    const SLOWER_PORTION: f64 = 0.7;
    /// The maximum busy time of one first event: a multiple of the nominal time of its work plus a
    /// number of milliseconds. A longer delay has causes other than the engine, such as a suspension
    /// of this box.
    const MAX_SLOWDOWN: f64 = 10.0;
    const MAX_DELAY_MS: f64 = 100.0;
    /// The number of first events before the rate is known.
    const MIN_SAMPLES: u32 = 20;
    /// The maximum portion of the busy time that is uncertain: about the effect of one step of a
    /// quarter octave.
    const MAX_UNCERTAIN_PORTION: f64 = 0.2;
    /// The number of uncached tokens of a typical prompt, for which the rate is stated.
    const TYPICAL_TOKENS: u32 = 2_000;

    /// Returns the prefill time of work at the initial speed of the model, in milliseconds.
    ///
    /// Prompts of different lengths are compared by this time, as a token takes longer the more
    /// tokens precede it.
    pub fn nominal_ms(work: PrefillWork) -> f64 {
        PrefillModel::default().prefill_ms(work)
    }

    /// Records a first event.
    pub fn record(&mut self, sample: MeterSample, now_ms: u64) {
        let nominal_ms = Self::nominal_ms(sample.work);
        let max_busy_ms = nominal_ms * Self::MAX_SLOWDOWN + Self::MAX_DELAY_MS;
        let busy_ms = sample.busy_ms.min(max_busy_ms);
        let latest = self.intervals.back();
        if latest.is_none_or(|latest| now_ms >= latest.began_ms + Self::INTERVAL_MS) {
            self.intervals.push_back(MeterInterval {
                began_ms: now_ms.saturating_sub(busy_ms as u64),
                ended_ms: now_ms,
                nominal_ms: 0.0,
                busy_ms: 0.0,
                idle_starts: 0,
            });
        }
        while let Some(oldest) = self.intervals.front()
            && self.kept_ms() >= Self::WINDOW_MS + oldest.span_ms()
        {
            self.intervals.pop_front();
        }
        if let Some(latest) = self.intervals.back_mut() {
            latest.ended_ms = latest.ended_ms.max(now_ms);
            latest.nominal_ms += nominal_ms;
            latest.busy_ms += busy_ms;
            latest.idle_starts += u32::from(sample.was_idle);
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Returns the length of all intervals, in milliseconds.
    fn kept_ms(&self) -> u64 {
        self.intervals.iter().map(MeterInterval::span_ms).sum()
    }

    /// Returns whether enough first events were observed.
    pub const fn is_known(&self) -> bool {
        self.samples >= Self::MIN_SAMPLES
    }

    /// Returns the rate for a typical prompt in tokens per millisecond, given the fixed time of
    /// each first event; `None` until enough first events were observed, and while the rate depends
    /// on an uncertain fixed time.
    pub fn rate(&self, fixed: FixedTime) -> Option<f64> {
        let busy_ms: f64 = self.intervals.iter().map(|interval| interval.busy_ms).sum();
        let idle_starts = self.intervals.iter().map(|interval| interval.idle_starts);
        let uncertain_ms = f64::from(idle_starts.sum::<u32>()) * fixed.deviation_ms;
        if !self.is_known() || uncertain_ms > busy_ms * Self::MAX_UNCERTAIN_PORTION {
            return None;
        }
        let intervals = self.intervals.iter();
        let speeds = intervals.map(|interval| (interval.speed(fixed.ms), interval.span_ms()));
        let mut speeds: Vec<(f64, u64)> = speeds.collect();
        speeds.sort_by(|(one, _), (other, _)| one.total_cmp(other));
        let slower_ms = (self.kept_ms() as f64 * Self::SLOWER_PORTION) as u64;
        let mut until_ms = 0;
        let (speed, _) = speeds.into_iter().find(|(_, span_ms)| {
            until_ms += span_ms;
            until_ms > slower_ms
        })?;
        let typical_ms = Self::nominal_ms(PrefillWork::new(0, Self::TYPICAL_TOKENS));
        Some(f64::from(Self::TYPICAL_TOKENS) / typical_ms * speed)
    }
}

#[cfg(test)]
mod tests;
