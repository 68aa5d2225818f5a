//! The time that a box is told jumps: it was suspended, or frozen. Whatever it believed, at whatever moment, nothing
//! breaks by it, no bound is passed, and what is told anew is believed as before.

use super::{
    BoxHeartbeat, BoxStatus, EndpointHealth, EndpointId, EndpointOutcome, FleetView, LagChange,
    LoadShedder, LoopLag, RequestFingerprint, ResumeGate, RetryBudget, RetryRule, ShareLevel,
    ShareTracker, StoreAccess, StoreFollower, SuspectRegistry,
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

fn beat(number: u32, sequence: u32) -> BoxHeartbeat {
    let address = format!("10.0.0.{number}:7400");
    let address = address.parse().expect("an address");
    BoxHeartbeat::new(&format!("a{number}"), "a", address)
        .status(BoxStatus::new(250).reaches_store(true))
        .sequence(sequence)
}

/// What one box believes.
struct JumpBox {
    now_ms: u64,
    sequence: u32,
    fleet: FleetView,
    duty: StoreFollower,
    retries: RetryBudget,
    sent: Vec<u64>,
    asked: Vec<u64>,
    shares: ShareTracker,
    health: EndpointHealth,
    lag: LoopLag,
    shed: LoadShedder,
    suspects: SuspectRegistry,
    gate: ResumeGate,
}

const GUILTY: RequestFingerprint = RequestFingerprint::new([1; 16]);

impl JumpBox {
    fn new() -> Self {
        let mut suspects = SuspectRegistry::default();
        for endpoint in 1..=3 {
            suspects.note_ended(GUILTY, EndpointId(endpoint), 1);
        }
        Self {
            now_ms: 1,
            sequence: 1,
            fleet: FleetView::new(beat(1, 1)),
            duty: StoreFollower::default(),
            retries: RetryBudget::new(RULE),
            sent: Vec::new(),
            asked: Vec::new(),
            shares: ShareTracker::new(4_000),
            health: EndpointHealth::default(),
            lag: LoopLag::default(),
            shed: LoadShedder::default(),
            suspects,
            gate: ResumeGate::default(),
        }
    }

    /// A tenth of a second of work: beats come, requests are sent and lost.
    fn work(&mut self, load: u8) {
        self.now_ms += 100;
        let now = self.now_ms;
        self.sequence += 1;
        for number in 2..=BOXES {
            self.fleet
                .receive_heartbeat(beat(number, self.sequence), Incarnation(1), now);
        }
        for _ in 0..load {
            self.retries.record_request(SERVICE, now);
            self.asked.push(now);
            if self.retries.try_take(SERVICE, now) {
                self.sent.push(now);
            }
            self.shares.record_request(7, 100, now);
            self.shares.record_admission(7, 80, ShareLevel::WITHIN, now);
        }
        let sign = match load % 3 {
            0 => EndpointOutcome::Failed,
            1 => EndpointOutcome::Silent,
            _ => EndpointOutcome::Answered,
        };
        self.health.note(sign, now);
        self.look(0);
    }

    /// What is done each tenth of a second, `late_ms` after it was due.
    fn look(&mut self, late_ms: u64) -> LagChange {
        let now = self.now_ms;
        self.fleet.expire(now.saturating_sub(100 + late_ms), now);
        self.shares.tick(now, 1_000.0);
        let watchers = self.fleet.store_watchers(now);
        let own = StoreAccess::default();
        let _ = self.duty.must_follow(watchers, own, now);
        let _ = self.duty.must_probe(watchers, own, now);
        self.shed.record_sample(0.2, late_ms, now);
        self.suspects.expire(now);
        self.lag.record(late_ms, now)
    }

    fn jump(&mut self, ms: u64) {
        self.now_ms += ms;
        self.gate.close(self.now_ms);
        let change = self.look(ms);
        assert_ne!(change, LagChange::Overloaded, "one pause is no overload");
    }

    /// Counts what was sent again in the window before each send.
    fn is_within_budget(&self) -> bool {
        self.sent.iter().all(|at| {
            let window = at.saturating_sub(RULE.window_ms)..=*at;
            let count = |times: &[u64]| times.iter().filter(|time| window.contains(time)).count();
            let slack = RULE.slack / f64::from(BOXES);
            let allowed = count(&self.asked) as f64 * RULE.ratio + slack;
            count(&self.sent) as f64 <= allowed + 1.0
        })
    }
}

proptest! {
    #[test]
    fn jumps_of_any_size_at_any_moment_break_nothing(
        steps in prop::collection::vec(
            (1_u32..8, 0_u8..40, prop_oneof![0_u64..2_000, 0_u64..80_000, 0_u64..40_000_000]),
            1..12,
        ),
    ) {
        let mut own = JumpBox::new();
        for (rounds, load, jump_ms) in steps {
            (0..rounds).for_each(|_| own.work(load));
            own.jump(jump_ms);
            prop_assert!(own.fleet.live_count(own.now_ms) <= BOXES);
        }
        // It closes for a second at most, and what is told anew is believed at once.
        own.work(1);
        prop_assert_eq!(own.fleet.live_count(own.now_ms), BOXES);
        (0..12).for_each(|_| own.work(2));
        prop_assert!(own.gate.is_open(None, own.now_ms));
        prop_assert!(own.health.is_available(own.now_ms));
        prop_assert!(!own.lag.is_too_late_for(500));
        prop_assert!(own.shed.refused_fraction(7) < 1.0);
        prop_assert!(own.is_within_budget());
        let day_ms = 86_400_000;
        let is_held = own.suspects.quarantine(GUILTY, own.now_ms).is_some();
        prop_assert_eq!(is_held, own.now_ms < day_ms);
        prop_assert!(own.fleet.owner(EndpointId(1), "a", own.now_ms) != BoxKey(0));
    }
}
