//! The weights of engines by their prefill rates, for fleets whose engines differ in speed.
//!
//! Handles engines of one service at 0.6, 1.0 and 1.6 times the nominal speed, and an engine that
//! becomes several times slower for some seconds: placed alike, slow engines decline prompts while
//! fast ones are idle. The owner of an engine measures its rate and reports it in heartbeats, and
//! coordinators relay the rates in digests. As long as the rates of a service are about equal, its
//! engines have weight 1, and no box reports rates of which it can tell that they are equal.
//!
//! A rate is a step of a quarter octave, with a counter that orders the reports on an engine by
//! whatever path they arrive. The age of a report grows with each relay, so that a report that
//! circulates between coordinators does not outlive its source.
//!
//! ```
//! use dockgate_core::gateway::{EndpointId, EngineWeights, ReadyService};
//!
//! let mut weights = EngineWeights::default();
//! for (id, rate) in [(1, 30.0), (2, 30.0), (3, 15.0)] {
//!     weights.measure(EndpointId(id), rate, 0);
//! }
//! let service = ReadyService { key: 7, engines: 4 };
//! weights.refresh(|_| Some(service), 0);
//! assert_eq!(weights.homes().get(EndpointId(1)), 1.0);
//! assert_eq!(weights.homes().get(EndpointId(3)), 0.5);
//! ```

use super::home_weights::HomeWeights;
use super::route_table::EndpointId;
use serde::{Deserialize, Serialize};
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Bound;

/// The rate of an engine, as reported to other boxes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRate {
    /// The engine.
    pub endpoint: EndpointId,
    /// The rate in tokens per millisecond, as its logarithm in quarter octaves.
    pub step: i8,
    /// How often the step has changed.
    pub counter: u32,
    /// How long ago the owner reported it, in tenths of a second; rounded up by each relay.
    pub age_ds: u8,
}

/// The recipients of reported rates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateAudience {
    /// The coordinators of the own domain, in heartbeats: the rates of own engines.
    Coordinators,
    /// Boxes of the own domain, in digests.
    Domain,
    /// Coordinators of other domains, in digests.
    OtherDomains,
}

impl RateAudience {
    const COUNT: usize = 3;
}

/// The service of an engine that is ready.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReadyService {
    /// A key of the service.
    pub key: u64,
    /// The number of its engines that are ready.
    pub engines: usize,
}

/// A changed weight of an engine that this box owns.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightChange {
    /// The engine.
    pub endpoint: EndpointId,
    /// The weight before.
    pub from: f64,
    /// The weight from now on.
    pub to: f64,
}

/// The rate of an engine, as this box knows it.
#[derive(Debug, Clone, Copy)]
struct KnownRate {
    step: i8,
    counter: u32,
    /// When its owner reported it.
    reported_ms: u64,
    /// When this box measured it as the owner.
    measured_ms: Option<u64>,
    /// When this box changed the step.
    changed_ms: Option<u64>,
    /// Until when it is reported, because the rates of the service differ.
    reports_until_ms: u64,
    /// How many rates of the service this box knows, compared to half of its engines.
    coverage: Ordering,
}

impl KnownRate {
    fn is_own(&self, now_ms: u64) -> bool {
        let measured_ms = self.measured_ms;
        measured_ms.is_some_and(|at_ms| now_ms < at_ms + EngineWeights::OWNED_MS)
    }

    const fn rank(&self) -> (u32, i8) {
        (self.counter, self.step)
    }
}

/// The rates of engines, and the weights that follow from them.
#[derive(Debug, Clone, Default)]
pub struct EngineWeights {
    rates: BTreeMap<EndpointId, KnownRate>,
    weights: HomeWeights,
    /// The last engine reported to each audience.
    cursors: [Option<EndpointId>; RateAudience::COUNT],
}

impl EngineWeights {
    /// The number of steps in which a rate doubles.
    const STEPS_PER_OCTAVE: f64 = 4.0;
    /// How far the rate must be from its step to change it, in steps. With half a step, a rate
    /// between two steps would change with each measurement.
    const HYSTERESIS: f64 = 0.6;
    /// The minimum time between two changes of an engine's step, in milliseconds.
    const MIN_CHANGE_MS: u64 = 2_000;
    /// The number of steps from the median from which the weight is not 1: a factor of 1.41.
    /// Measured rates of equal engines differ by less.
    const MIN_DEVIATION: i16 = 2;
    /// Bounds of the weights, so that an engine is neither without prompts, by which its rate is
    /// measured, nor preferred by many boxes that know of a new rate at different times.
    const MIN: f64 = 0.25;
    const MAX: f64 = 4.0;
    /// The lifetime of a reported rate in milliseconds. The rates of a service are also reported
    /// for this time after they have become equal, so that no box keeps an outdated one.
    const LIFETIME_MS: u64 = 10_000;
    /// How long after a measurement this box counts as the owner, in milliseconds: some heartbeats.
    const OWNED_MS: u64 = 1_000;
    /// The maximum number of rates in a datagram: about 2.6 kB.
    const MAX_ROWS: usize = 200;
    /// The unit of reported ages, in milliseconds.
    const AGE_UNIT_MS: u64 = 100;

    /// Records the measured rate of an engine that this box owns, in tokens per millisecond.
    ///
    /// Ignores a rate that is not positive and finite.
    pub fn measure(&mut self, endpoint: EndpointId, rate: f64, now_ms: u64) {
        let exact = rate.log2() * Self::STEPS_PER_OCTAVE;
        if !exact.is_finite() {
            return;
        }
        let step = exact.round() as i8;
        let known = self.rates.entry(endpoint).or_insert(KnownRate {
            step,
            counter: 1,
            reported_ms: now_ms,
            measured_ms: None,
            changed_ms: None,
            reports_until_ms: 0,
            coverage: Ordering::Greater,
        });
        known.reported_ms = now_ms;
        known.measured_ms = Some(now_ms);
        let is_far = (exact - f64::from(known.step)).abs() > Self::HYSTERESIS;
        let changed_ms = known.changed_ms;
        let is_due = changed_ms.is_none_or(|at_ms| now_ms >= at_ms + Self::MIN_CHANGE_MS);
        if is_far && is_due && step != known.step {
            known.step = step;
            known.counter = known.counter.saturating_add(1);
            known.changed_ms = Some(now_ms);
        }
    }

    /// Merges rates that another box reports; returns how many are ignored, because their engine is
    /// unknown or a newer report was received.
    pub fn merge(
        &mut self,
        rows: &[EngineRate],
        is_known: impl Fn(EndpointId) -> bool,
        now_ms: u64,
    ) -> usize {
        let mut ignored = 0;
        for row in rows {
            let age_ms = u64::from(row.age_ds) * Self::AGE_UNIT_MS;
            let is_merged = age_ms < Self::LIFETIME_MS
                && is_known(row.endpoint)
                && self.merge_row(*row, now_ms.saturating_sub(age_ms), now_ms);
            ignored += usize::from(!is_merged);
        }
        ignored
    }

    fn merge_row(&mut self, row: EngineRate, reported_ms: u64, now_ms: u64) -> bool {
        let reported = KnownRate {
            step: row.step,
            counter: row.counter,
            reported_ms,
            measured_ms: None,
            changed_ms: None,
            reports_until_ms: 0,
            coverage: Ordering::Greater,
        };
        let known = self.rates.entry(row.endpoint).or_insert(reported);
        match reported.rank().cmp(&known.rank()) {
            Ordering::Less => return false,
            Ordering::Equal => known.reported_ms = known.reported_ms.max(reported_ms),
            // A previous owner, or this box before a restart, has counted further.
            Ordering::Greater if known.is_own(now_ms) => {
                known.counter = row.counter.saturating_add(1);
            }
            Ordering::Greater => {
                *known = KnownRate {
                    reports_until_ms: known.reports_until_ms,
                    coverage: known.coverage,
                    ..reported
                };
            }
        }
        true
    }

    /// Removes outdated rates and updates the weights; returns the changed weights of engines that
    /// this box owns.
    ///
    /// `service_of` returns the service of an engine, or `None` if the engine is not ready. Weights
    /// are 1 until the rates of half of its engines are known: the median of few rates is off.
    pub fn refresh(
        &mut self,
        service_of: impl Fn(EndpointId) -> Option<ReadyService>,
        now_ms: u64,
    ) -> Vec<WeightChange> {
        self.rates
            .retain(|_, rate| rate.reported_ms + Self::LIFETIME_MS > now_ms);
        let mut services: BTreeMap<ReadyService, Vec<(EndpointId, i16)>> = BTreeMap::new();
        for (id, rate) in &self.rates {
            if let Some(service) = service_of(*id) {
                let engines = services.entry(service).or_default();
                engines.push((*id, i16::from(rate.step)));
            }
        }
        let mut weights = Vec::new();
        for (service, engines) in &services {
            let coverage = (engines.len() * 2).cmp(&service.engines);
            for (id, _) in engines {
                if let Some(rate) = self.rates.get_mut(id) {
                    rate.coverage = coverage;
                }
            }
            let median = median_step(engines);
            let differing = engines
                .iter()
                .filter(|(_, step)| (step - median).abs() >= Self::MIN_DEVIATION);
            let differing: Vec<(EndpointId, i16)> = differing.copied().collect();
            if differing.is_empty() {
                continue;
            }
            for (id, _) in engines {
                if let Some(rate) = self.rates.get_mut(id) {
                    rate.reports_until_ms = now_ms + Self::LIFETIME_MS;
                }
            }
            if coverage.is_ge() {
                let differing = differing.into_iter();
                weights.extend(differing.map(|(id, step)| (id, weight(step - median))));
            }
        }
        let previous = std::mem::replace(&mut self.weights, weights.into_iter().collect());
        let own = self.rates.iter().filter(|(_, rate)| rate.is_own(now_ms));
        let changes = own.map(|(id, _)| WeightChange {
            endpoint: *id,
            from: previous.get(*id),
            to: self.weights.get(*id),
        });
        changes.filter(|change| change.from != change.to).collect()
    }

    /// Removes the rates of unknown engines.
    pub fn retain(&mut self, is_known: impl Fn(EndpointId) -> bool) {
        self.rates.retain(|id, _| is_known(*id));
    }

    /// Returns the weights for the placement of prompts.
    pub const fn homes(&self) -> &HomeWeights {
        &self.weights
    }

    /// Returns the rates to report to an audience; each datagram continues after the last one.
    ///
    /// All known rates of a service are reported while some of them differ, as weights are relative
    /// to their median. Also reported are rates that this box cannot compare, because it knows no
    /// more than half of the rates of their service: a box that knows the other half may.
    pub fn rows(&mut self, audience: RateAudience, now_ms: u64) -> Vec<EngineRate> {
        let cursor = &mut self.cursors[audience as usize];
        let from = cursor.map_or(Bound::Unbounded, Bound::Excluded);
        let to = cursor.map_or(Bound::Excluded(EndpointId(0)), Bound::Included);
        let rates = self.rates.range((from, Bound::Unbounded));
        let rates = rates.chain(self.rates.range((Bound::Unbounded, to)));
        let due = rates.filter(|(_, rate)| {
            let is_own = rate.is_own(now_ms);
            let is_fresh = rate.reported_ms + Self::LIFETIME_MS > now_ms;
            let is_for_audience = is_own || audience != RateAudience::Coordinators;
            let is_uncompared = match audience {
                RateAudience::Coordinators | RateAudience::OtherDomains => rate.coverage.is_le(),
                RateAudience::Domain => rate.coverage.is_lt(),
            };
            (now_ms < rate.reports_until_ms || is_uncompared) && is_fresh && is_for_audience
        });
        let rows = due.map(|(id, rate)| {
            let age_ms = now_ms.saturating_sub(rate.reported_ms);
            let relays = u64::from(!rate.is_own(now_ms));
            EngineRate {
                endpoint: *id,
                step: rate.step,
                counter: rate.counter,
                age_ds: (age_ms / Self::AGE_UNIT_MS + relays) as u8,
            }
        });
        let rows: Vec<EngineRate> = rows.take(Self::MAX_ROWS).collect();
        *cursor = rows.last().map(|row| row.endpoint);
        rows
    }
}

/// Returns the lower median of the steps; 0 if there are none.
///
/// The mean of two medians would lie between the speeds of a service that has two of them.
fn median_step(engines: &[(EndpointId, i16)]) -> i16 {
    let mut steps: Vec<i16> = engines.iter().map(|(_, step)| *step).collect();
    steps.sort_unstable();
    let middle = steps.len().saturating_sub(1) / 2;
    steps.get(middle).copied().unwrap_or_default()
}

/// Returns the weight of an engine whose rate deviates from the median by a number of steps.
fn weight(steps: i16) -> f64 {
    let ratio = (f64::from(steps) / EngineWeights::STEPS_PER_OCTAVE).exp2();
    ratio.clamp(EngineWeights::MIN, EngineWeights::MAX)
}

#[cfg(test)]
mod speed_simulation;
#[cfg(test)]
mod tests;
