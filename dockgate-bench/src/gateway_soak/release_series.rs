//! Releases in series that overlap, in which all boxes are killed.

use super::fault_injector::{FaultInjector, UndoAction};
use super::rejoining_caller::REJOIN_EVENT_INTERVAL;
use crate::error::BenchError;
use crate::gateway_fleet::GatewayFleet;
use rand::RngExt;
use std::ops::Range;
use std::time::{Duration, Instant};

/// Average numbers of steps between two releases, two kills of all boxes, and two other faults.
const STEPS_PER_RELEASE: u32 = 35;
const STEPS_PER_HERD_KILL: u32 = 30;
const STEPS_PER_FAULT: u32 = 10;
/// Time before the first fault, so that streams run, in milliseconds.
const FIRST_STREAMS_MS: Range<u64> = 1_500..3_000;
/// Maximum number of releases, which limits the number of endpoints.
const MAX_RELEASES: usize = 6;
/// Number of endpoints of each version.
const ENDPOINTS: usize = 3;
/// Time from the join of a version until the record of each endpoint of earlier ones is removed, in
/// milliseconds.
const REMOVAL_MS: Range<u64> = 300..5_000;
/// Time for which all boxes are down, in milliseconds.
const DOWN_MS: Range<u64> = 50..900;
/// Time after such a kill without other faults, so that streams can be counted.
const QUIET_TIME: Duration = Duration::from_secs(5);
/// Numbers of the other faults: of single boxes and of the store.
const OTHER_FAULTS: Range<u32> = 0..7;

/// The releases of a run and the kills of all boxes.
#[derive(Debug, Default)]
pub(super) struct ReleaseSeries {
    releases: usize,
    /// Until when there are only releases.
    quiet_until: Option<Instant>,
    pub(super) herd_kills: Vec<Instant>,
    /// When the records of endpoints were removed, by the index of the endpoint.
    pub(super) removals: Vec<(usize, Instant)>,
}

impl ReleaseSeries {
    pub(super) fn remove_record(&mut self, fleet: &GatewayFleet, endpoint: usize) {
        let (key, _) = fleet.endpoints[endpoint].record("a", "ready");
        fleet.store.remove(&key);
        self.removals.push((endpoint, Instant::now()));
    }
}

impl FaultInjector {
    /// May begin a release, kill all boxes or begin another fault.
    pub(super) async fn step_release(
        &mut self,
        fleet: &mut GatewayFleet,
    ) -> Result<(), BenchError> {
        let now = Instant::now();
        if self.rejoins.releases < MAX_RELEASES && self.rng.random_ratio(1, STEPS_PER_RELEASE) {
            self.release_version(fleet).await?;
        }
        let quiet_until = match self.rejoins.quiet_until {
            Some(quiet_until) => quiet_until,
            None => {
                let first_ms = self.rng.random_range(FIRST_STREAMS_MS);
                let first_quiet = self.started + Duration::from_millis(first_ms);
                *self.rejoins.quiet_until.insert(first_quiet)
            }
        };
        if now < quiet_until {
            return Ok(());
        }
        let is_first = self.rejoins.herd_kills.is_empty() && self.rng.random_bool(0.5);
        if is_first || self.rng.random_ratio(1, STEPS_PER_HERD_KILL) {
            self.kill_all_boxes(fleet);
        } else if self.rng.random_ratio(1, STEPS_PER_FAULT) {
            self.begin(fleet, OTHER_FAULTS).await?;
        }
        Ok(())
    }

    /// Starts endpoints of another version; the records of the earlier ones are removed later.
    async fn release_version(&mut self, fleet: &mut GatewayFleet) -> Result<(), BenchError> {
        let earlier = 0..fleet.endpoints.len();
        self.rejoins.releases += 1;
        let version = format!("v{}", self.rejoins.releases + 1);
        for number in 0..ENDPOINTS {
            let id = format!("{version}-{number}");
            fleet
                .add_endpoint_of_version(&version, &id, "model")
                .await?;
        }
        for endpoint in &fleet.endpoints[earlier.end..] {
            endpoint.name_version_in_events();
            endpoint.set_processing_time(REJOIN_EVENT_INTERVAL);
        }
        let leaving = earlier.filter(|at| fleet.endpoints[*at].service == "model");
        let leaving: Vec<usize> = leaving.collect();
        for endpoint in leaving {
            let delay = Duration::from_millis(self.rng.random_range(REMOVAL_MS));
            let action = UndoAction::RemoveRecord(endpoint);
            self.undo_actions.push((Instant::now() + delay, action));
        }
        let at = self.started.elapsed().as_millis();
        self.fault_log.push(format!("{at} ms: release {version}"));
        Ok(())
    }

    /// Kills all boxes that run; each starts again after a while of its own.
    fn kill_all_boxes(&mut self, fleet: &mut GatewayFleet) {
        let now = Instant::now();
        let at = self.started.elapsed().as_millis();
        self.fault_log.push(format!("{at} ms: kill all boxes"));
        self.rejoins.herd_kills.push(now);
        // Their restarts replace what undoes other faults of boxes.
        self.undo_actions.retain(|(_, action)| {
            !matches!(action, UndoAction::Restart(_) | UndoAction::Continue(_))
        });
        let down = Duration::from_millis(self.rng.random_range(DOWN_MS));
        fleet.kill_all();
        for box_index in 0..fleet.gateways.len() {
            let apart = Duration::from_millis(self.rng.random_range(0..DOWN_MS.start));
            let action = UndoAction::Restart(box_index);
            self.record_disturbance(action, down + apart);
            self.undo_actions.push((now + down + apart, action));
        }
        if self.rng.random_bool(0.5) {
            self.rejoins.quiet_until = Some(now + QUIET_TIME);
        }
    }
}
