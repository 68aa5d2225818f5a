//! Measures how long the streams of each service take: upper quantiles of the time to the first
//! event and of the time per event, which follow the present state of the engines.
//!
//! ```
//! use dockgate_core::gateway::GenerationTimes;
//!
//! let mut times = GenerationTimes::default();
//! assert_eq!(times.predict_ms("model", 100, 1_000), None);
//! for number in 0..40 {
//!     times.record_first("model", 300, 1_000 + number);
//!     times.record_events("model", 990, 100, 1_000 + number);
//! }
//! let predicted_ms = times.predict_ms("model", 100, 2_000).unwrap();
//! assert!((1_290..1_700).contains(&predicted_ms));
//! ```

use super::rendezvous::name_hash;
use std::collections::HashMap;

/// The number of buckets: two for each power of two.
const BUCKETS: usize = 40;

/// Counts of values by size.
#[derive(Debug, Clone, Copy)]
struct SizeCounts([u32; BUCKETS]);

impl SizeCounts {
    const EMPTY: Self = Self([0; BUCKETS]);

    /// Returns the bucket of a value: those of 4 and 6 hold 4 and 5, and 6 and 7.
    fn bucket_of(value: u64) -> usize {
        let value = value.max(1);
        let power = value.ilog2();
        let is_upper_half = power > 0 && value >> (power - 1) & 1 == 1;
        (power as usize * 2 + usize::from(is_upper_half)).min(BUCKETS - 1)
    }

    /// Returns the smallest value above a bucket.
    const fn upper_bound(bucket: usize) -> u64 {
        let power = bucket as u32 / 2;
        match bucket % 2 {
            0 if power > 0 => 3 << (power - 1),
            _ => 2 << power,
        }
    }

    fn add(&mut self, value: u64) {
        self.0[Self::bucket_of(value)] += 1;
    }
}

/// An upper quantile of the values of the latest period and the one before it.
#[derive(Debug, Clone, Copy)]
struct RecentQuantile {
    latest: SizeCounts,
    previous: SizeCounts,
    period: u64,
}

impl RecentQuantile {
    /// The length of a period in milliseconds.
    const PERIOD_MS: u64 = 4_000;
    /// The part of the values above the quantile, as a divisor.
    const UPPER_DIVISOR: u32 = 20;
    /// The number of values from which on the quantile is known.
    const MIN_VALUES: u32 = 20;

    const EMPTY: Self = Self {
        latest: SizeCounts::EMPTY,
        previous: SizeCounts::EMPTY,
        period: 0,
    };

    fn advance(&mut self, now_ms: u64) {
        let period = now_ms / Self::PERIOD_MS;
        match period.saturating_sub(self.period) {
            0 => return,
            1 => self.previous = self.latest,
            _ => self.previous = SizeCounts::EMPTY,
        }
        self.latest = SizeCounts::EMPTY;
        self.period = period;
    }

    fn record(&mut self, value: u64, now_ms: u64) {
        self.advance(now_ms);
        self.latest.add(value);
    }

    /// Returns an upper bound of the quantile; `None` while there are too few values.
    fn value(mut self, now_ms: u64) -> Option<u64> {
        self.advance(now_ms);
        let counts = self.latest.0.iter().zip(&self.previous.0);
        let counts = counts.map(|(latest, previous)| latest + previous);
        let total: u32 = counts.clone().sum();
        if total < Self::MIN_VALUES {
            return None;
        }
        let mut above = 0;
        let bucket = counts.enumerate().rev().find(|(_, count)| {
            above += count;
            above > total / Self::UPPER_DIVISOR
        });
        bucket.map(|(bucket, _)| SizeCounts::upper_bound(bucket))
    }
}

/// The times of one service.
#[derive(Debug, Clone, Copy)]
struct ServiceTimes {
    /// The time to the first event, in milliseconds.
    first: RecentQuantile,
    /// The time per further event, in microseconds.
    event: RecentQuantile,
}

impl ServiceTimes {
    const UNKNOWN: Self = Self {
        first: RecentQuantile::EMPTY,
        event: RecentQuantile::EMPTY,
    };
}

/// The times of the streams of all services, as measured at this box.
#[derive(Debug, Clone, Default)]
pub struct GenerationTimes {
    /// The times by the hash of the service's name.
    services: HashMap<u64, ServiceTimes>,
}

impl GenerationTimes {
    fn times_of(&mut self, service: &str) -> &mut ServiceTimes {
        let service = name_hash(service);
        self.services
            .entry(service)
            .or_insert(ServiceTimes::UNKNOWN)
    }

    /// Records the time from the arrival of a request to its first event, or to the end of the wait
    /// for it.
    pub fn record_first(&mut self, service: &str, first_ms: u64, now_ms: u64) {
        self.times_of(service).first.record(first_ms, now_ms);
    }

    /// Records the time that `events` further events took.
    pub fn record_events(&mut self, service: &str, took_ms: u64, events: u64, now_ms: u64) {
        if let Some(event_us) = (took_ms * 1_000).checked_div(events) {
            self.times_of(service).event.record(event_us, now_ms);
        }
    }

    /// Predicts the duration of a stream of at most `max_events` events in milliseconds; `None`
    /// until enough streams were measured recently.
    pub fn predict_ms(&self, service: &str, max_events: u64, now_ms: u64) -> Option<u64> {
        let times = self.services.get(&name_hash(service))?;
        let first_ms = times.first.value(now_ms)?;
        let event_us = times.event.value(now_ms)?;
        Some(first_ms + event_us * max_events / 1_000)
    }
}

#[cfg(test)]
mod tests;
