//! Simulation of clock jumps, as after a suspension of a box: no limit may be exceeded, and state
//! received afterwards has to be accepted as usual.

use super::{
    BoxHeartbeat, BoxStatus, EndpointHealth, EndpointId, EndpointOutcome, FleetView, LagChange,
    LoadShedder, LoopLag, ResumeGate, RetryBudget, RetryRule, ShareLevel, ShareTracker,
    StoreAccess, StoreFollower, SuspectKey, SuspectRegistry,
};
use crate::ids::{BoxKey, Incarnation};
use proptest::prelude::*;

const BOXES: u32 = 6;
const SERVICE: &str = "plain";
const RULE: RetryRule = RetryRule {
    ratio: 0.2,
    window_ms: 10_000,
    slack: 52.0,
    boxes: BOXES,
};

fn heartbeat(number: u32, sequence: u32) -> BoxHeartbeat {
    let address = format!("10.0.0.{number}:7400");
    let address = address.parse().expect("an address");
    BoxHeartbeat::new(&format!("a{number}"), "a", address)
        .status(BoxStatus::new(250).reaches_store(true))
        .sequence(sequence)
}

/// The state of one box.
struct SimulatedBox {
    now_ms: u64,
    sequence: u32,
    fleet: FleetView,
    follower: StoreFollower,
    retries: RetryBudget,
    retried: Vec<u64>,
    requests: Vec<u64>,
    shares: ShareTracker,
    health: EndpointHealth,
    lag: LoopLag,
    shedder: LoadShedder,
    suspects: SuspectRegistry,
    gate: ResumeGate,
}

const SUSPECT: SuspectKey = SuspectKey::new([1; 16]);

impl SimulatedBox {
    fn new() -> Self {
        let mut suspects = SuspectRegistry::default();
        for endpoint in 1..=3 {
            suspects.note_ended(&[SUSPECT], EndpointId(endpoint), 1);
        }
        Self {
            now_ms: 1,
            sequence: 1,
            fleet: FleetView::new(heartbeat(1, 1)),
            follower: StoreFollower::default(),
            retries: RetryBudget::new(RULE),
            retried: Vec::new(),
            requests: Vec::new(),
            shares: ShareTracker::new(4_000),
            health: EndpointHealth::default(),
            lag: LoopLag::default(),
            shedder: LoadShedder::default(),
            suspects,
            gate: ResumeGate::default(),
        }
    }

    /// Simulates 100 ms of work: heartbeats arrive, and requests are sent and fail.
    fn work(&mut self, load: u8) {
        self.now_ms += 100;
        let now = self.now_ms;
        self.sequence += 1;
        for number in 2..=BOXES {
            self.fleet
                .receive_heartbeat(heartbeat(number, self.sequence), Incarnation(1), now);
        }
        for _ in 0..load {
            self.retries.record_request(SERVICE, now);
            self.requests.push(now);
            if self.retries.try_take(SERVICE, now) {
                self.retried.push(now);
            }
            self.shares.record_request(7, 100, now);
            self.shares.record_admission(7, 80, ShareLevel::WITHIN, now);
        }
        let outcome = match load % 3 {
            0 => EndpointOutcome::Failed,
            1 => EndpointOutcome::Silent,
            _ => EndpointOutcome::Answered,
        };
        self.health.note_outcome(outcome, now);
        self.tick(0);
    }

    /// Runs the task that is due each 100 ms, `late_ms` too late.
    fn tick(&mut self, late_ms: u64) -> LagChange {
        let now = self.now_ms;
        self.fleet.expire(now.saturating_sub(100 + late_ms), now);
        self.shares.tick(now, 1_000.0);
        let peers = self.fleet.store_peers(now);
        let own = StoreAccess::default();
        let _ = self.follower.must_follow(peers, own, now);
        let _ = self.follower.must_probe(peers, own, now);
        self.shedder.record_sample(0.2, late_ms, now);
        self.suspects.expire(now);
        self.lag.record(late_ms, now)
    }

    fn jump(&mut self, ms: u64) {
        self.now_ms += ms;
        self.gate.close(self.now_ms);
        let change = self.tick(ms);
        assert_ne!(change, LagChange::Overloaded, "a suspension is no overload");
    }

    /// Returns whether the retries in the window before each one are within the budget.
    fn is_within_budget(&self) -> bool {
        self.retried.iter().all(|at| {
            let window = at.saturating_sub(RULE.window_ms)..=*at;
            let count = |times: &[u64]| times.iter().filter(|time| window.contains(time)).count();
            let slack = RULE.slack / f64::from(BOXES);
            let allowed = count(&self.requests) as f64 * RULE.ratio + slack;
            count(&self.retried) as f64 <= allowed + 1.0
        })
    }
}

proptest! {
    #[test]
    fn clock_jumps_exceed_no_limit(
        steps in prop::collection::vec(
            (1_u32..8, 0_u8..40, prop_oneof![0_u64..2_000, 0_u64..80_000, 0_u64..40_000_000]),
            1..12,
        ),
    ) {
        let mut simulated = SimulatedBox::new();
        for (rounds, load, jump_ms) in steps {
            (0..rounds).for_each(|_| simulated.work(load));
            simulated.jump(jump_ms);
            prop_assert!(simulated.fleet.live_count(simulated.now_ms) <= BOXES);
        }
        // The gate closes for a second at most, and heartbeats count at once.
        simulated.work(1);
        prop_assert_eq!(simulated.fleet.live_count(simulated.now_ms), BOXES);
        (0..12).for_each(|_| simulated.work(2));
        prop_assert!(simulated.gate.is_open(None, simulated.now_ms));
        prop_assert!(simulated.health.is_available(simulated.now_ms));
        prop_assert!(!simulated.lag.is_too_late_for(500));
        prop_assert!(simulated.shedder.refused_fraction(7) < 1.0);
        prop_assert!(simulated.is_within_budget());
        let day_ms = 86_400_000;
        let is_held = simulated.suspects.quarantine(SUSPECT, simulated.now_ms).is_some();
        prop_assert_eq!(is_held, simulated.now_ms < day_ms);
        prop_assert!(simulated.fleet.owner(EndpointId(1), "a", simulated.now_ms) != BoxKey(0));
    }
}
