//! Samples the stand-ins and the callers during a run.

use crate::caller::{CallOutcome, CallerStats};
use crate::fleet::BenchFleet;
use crate::gap::{GapMeter, ServicePoint};
use crate::relay::ByteCount;
use crate::report::{AddedLatency, ArmReport, TimePercentiles, TimelinePoint};
use crate::scenario::{BenchScenario, PoolShape};
use crate::standin::RunTally;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Minimum age at which a request that has not started counts as queued; a younger one may still
/// be in transit.
const MIN_QUEUE_TIME: Duration = Duration::from_millis(10);
/// Interval between checks of the configuration versions in force.
const VERSION_INTERVAL: Duration = Duration::from_millis(250);

/// Totals of one pool over a run.
struct PoolSampler {
    shape: PoolShape,
    tally: Arc<RunTally>,
    gap: GapMeter,
    busy: f64,
    idle_queued: f64,
    slots: f64,
    first_units: f64,
    last_units: f64,
}

/// Collects the samples of a run.
pub(super) struct RunSampler {
    pools: Vec<PoolSampler>,
    shares: HashMap<String, u32>,
    last_sample_at: Instant,
    versions: HashMap<String, f64>,
    versions_due: Instant,
    reverts: u64,
    peer_bytes: ByteCount,
    started: Instant,
    second_start: SecondTotals,
    timeline: Vec<TimelinePoint>,
}

/// Totals at the start of a second of the timeline.
#[derive(Debug, Clone, Copy, Default)]
struct SecondTotals {
    busy: f64,
    idle_queued: f64,
    slots: f64,
    peer_bytes: u64,
}

impl RunSampler {
    pub(super) fn new(
        scenario: &BenchScenario,
        tallies: &BTreeMap<String, Arc<RunTally>>,
        peer_bytes: ByteCount,
    ) -> Self {
        let pools = scenario.pools.iter().filter_map(|shape| {
            let tally = tallies.get(&shape.name)?.clone();
            let units = tally.sample().iter().map(|sample| sample.units).sum();
            Some(PoolSampler {
                shape: shape.clone(),
                tally,
                gap: GapMeter::default(),
                busy: 0.0,
                idle_queued: 0.0,
                slots: 0.0,
                first_units: units,
                last_units: units,
            })
        });
        let loads = scenario.workspaces.iter();
        Self {
            pools: pools.collect(),
            shares: loads
                .map(|load| (load.workspace.clone(), load.share))
                .collect(),
            last_sample_at: Instant::now(),
            versions: HashMap::new(),
            versions_due: Instant::now(),
            reverts: 0,
            second_start: SecondTotals {
                peer_bytes: peer_bytes.total(),
                ..SecondTotals::default()
            },
            peer_bytes,
            started: Instant::now(),
            timeline: Vec::new(),
        }
    }

    /// Takes one sample.
    pub(super) fn sample(&mut self, stats: &CallerStats) {
        let now = Instant::now();
        let seconds = (now - self.last_sample_at).as_secs_f64();
        self.last_sample_at = now;
        let outstanding = stats.outstanding();
        for pool in &mut self.pools {
            let mut waiting: HashMap<&str, usize> = HashMap::new();
            for call in &outstanding {
                let is_queued = now.saturating_duration_since(call.sent_at) > MIN_QUEUE_TIME;
                if is_queued && call.pool == pool.shape.name && pool.tally.runs_of(&call.nonce) == 0
                {
                    *waiting.entry(&call.workspace).or_default() += 1;
                }
            }
            pool.sample(&waiting, &self.shares, seconds);
        }
        let at_s = (now - self.started).as_secs_f64();
        if at_s >= (self.timeline.len() + 1) as f64 {
            self.push_timeline_point(at_s);
        }
    }

    /// Adds a point for the second that ends at `at_s` to the timeline.
    fn push_timeline_point(&mut self, at_s: f64) {
        let engines = || self.pools.iter().filter(|pool| pool.shape.engine);
        let sum = |part: fn(&PoolSampler) -> f64| engines().map(part).sum::<f64>();
        let totals = SecondTotals {
            busy: sum(|pool| pool.busy),
            idle_queued: sum(|pool| pool.idle_queued),
            slots: sum(|pool| pool.slots),
            peer_bytes: self.peer_bytes.total(),
        };
        let slots = (totals.slots - self.second_start.slots).max(f64::EPSILON);
        let mut levels = BTreeMap::new();
        for sample in engines().flat_map(|pool| pool.tally.sample()) {
            if let Some(share) = self.shares.get(&sample.workspace) {
                *levels.entry(sample.workspace).or_default() += sample.units / f64::from(*share);
            }
        }
        self.timeline.push(TimelinePoint {
            at_s,
            utilisation: (totals.busy - self.second_start.busy) / slots,
            idle_while_queued: (totals.idle_queued - self.second_start.idle_queued) / slots,
            peer_bytes: totals.peer_bytes - self.second_start.peer_bytes,
            levels,
        });
        self.second_start = totals;
    }

    /// Counts boxes whose configuration version has decreased.
    pub(super) async fn poll_config_versions(&mut self, fleet: &BenchFleet) {
        if Instant::now() < self.versions_due {
            return;
        }
        self.versions_due = Instant::now() + VERSION_INTERVAL;
        let versions = fleet.daemons.iter().map(async |daemon| {
            let timeout = Duration::from_millis(100);
            let metric = daemon.metric("dockgate_config_version");
            let version = tokio::time::timeout(timeout, metric).await.ok().flatten();
            (daemon.name().to_owned(), version)
        });
        for (name, version) in futures::future::join_all(versions).await {
            // Version zero: the box has just started and has no configuration in force.
            let Some(version) = version.filter(|version| *version > 0.0) else {
                continue;
            };
            let known = self.versions.entry(name).or_insert(version);
            if version < *known {
                self.reverts += 1;
            }
            *known = known.max(version);
        }
    }

    /// Returns the report of all samples so far.
    pub(super) fn report(&self, stats: &CallerStats, seconds: f64) -> ArmReport {
        let engines = || self.pools.iter().filter(|pool| pool.shape.engine);
        let worst = engines().max_by(|a, b| a.gap_units(self).total_cmp(&b.gap_units(self)));
        let sum = |part: fn(&PoolSampler) -> f64| engines().map(part).sum::<f64>();
        let slots = sum(|pool| pool.slots).max(f64::EPSILON);
        let percentiles = |value_at: &dyn Fn(f64) -> f64| TimePercentiles {
            p50: value_at(0.5),
            p95: value_at(0.95),
            p99: value_at(0.99),
        };
        ArmReport {
            fairness_gap_units: worst.map_or(0.0, |pool| pool.gap_units(self)),
            fairness_gap_seconds: worst.map_or(0.0, |pool| pool.gap.worst_seconds()),
            utilisation: sum(|pool| pool.busy) / slots,
            idle_while_queued: sum(|pool| pool.idle_queued) / slots,
            units_per_second: sum(|pool| pool.last_units - pool.first_units) / seconds,
            requests: stats.total(),
            requests_ok: stats.count(CallOutcome::Ok),
            requests_failed: stats.count(CallOutcome::Failed),
            requests_unknown: stats.count(CallOutcome::Unknown),
            requests_not_run: stats.count(CallOutcome::NotRun),
            requests_cut: stats.count(CallOutcome::Cut),
            wrong_answers: stats.count(CallOutcome::Wrong),
            truncated_answers: stats.count(CallOutcome::Truncated),
            cut_by_planned_stop: stats.cut_by_stop(),
            config_reverts: self.reverts,
            first_token_ms: percentiles(&|quantile| stats.first_token_ms(quantile)),
            between_token_ms: percentiles(&|quantile| stats.token_gap_ms(quantile)),
            added_latency_us: match stats.probe_count() {
                0 => AddedLatency::default(),
                _ => AddedLatency {
                    p50: stats.added_latency_us(0.5),
                    p99: stats.added_latency_us(0.99),
                },
            },
            timeline: self.timeline.clone(),
            ..ArmReport::default()
        }
    }

    fn mean_share(&self) -> f64 {
        let total: u32 = self.shares.values().sum();
        f64::from(total) / self.shares.len().max(1) as f64
    }
}

impl PoolSampler {
    fn sample(
        &mut self,
        waiting: &HashMap<&str, usize>,
        shares: &HashMap<String, u32>,
        seconds: f64,
    ) {
        let slots = self.tally.slots();
        let running = self.tally.running();
        let queued: usize = waiting.values().sum();
        let idle = slots.saturating_sub(running);
        self.slots += slots as f64 * seconds;
        self.busy += running.min(slots) as f64 * seconds;
        self.idle_queued += idle.min(queued) as f64 * seconds;
        let mut points = BTreeMap::new();
        let mut units = 0.0;
        for sample in self.tally.sample() {
            units += sample.units;
            let Some(share) = shares.get(&sample.workspace) else {
                continue;
            };
            let point = ServicePoint {
                level: sample.units / f64::from(*share),
                backlogged: waiting.contains_key(sample.workspace.as_str()),
            };
            points.insert(sample.workspace, point);
        }
        self.last_units = units;
        self.gap.add(points, seconds);
    }

    fn gap_units(&self, sampler: &RunSampler) -> f64 {
        self.gap.worst_level() * sampler.mean_share()
    }
}
