//! The time that a box is told jumps: it was suspended, or frozen. Whatever it believed, at whatever moment, nothing
//! breaks by it, no bound is passed, and what is told anew is believed as before.

use super::{
    BoxBeat, BoxStanding, EndpointHealth, EndpointId, EndpointSign, FleetView, LagChange, LoopLag,
    OwnReach, RequestPrint, RetryBudget, RetryRule, ShareLevel, ShareWindow, StoreDuty,
    SuspectBook, WakeGate, WorkShed,
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

fn beat(number: u32, sequence: u32) -> BoxBeat {
    let address = format!("10.0.0.{number}:7400");
    let address = address.parse().expect("an address");
    BoxBeat::new(&format!("a{number}"), "a", address)
        .standing(BoxStanding::new(250).reaches_store(true))
        .sequence(sequence)
}

/// What one box believes.
struct JumpBox {
    now_ms: u64,
    sequence: u32,
    fleet: FleetView,
    duty: StoreDuty,
    retries: RetryBudget,
    sent: Vec<u64>,
    asked: Vec<u64>,
    shares: ShareWindow,
    health: EndpointHealth,
    lag: LoopLag,
    shed: WorkShed,
    suspects: SuspectBook,
    gate: WakeGate,
}

const GUILTY: RequestPrint = RequestPrint::new([1; 16]);

impl JumpBox {
    fn new() -> Self {
        let mut suspects = SuspectBook::default();
        for endpoint in 1..=3 {
            suspects.note_ended(GUILTY, EndpointId(endpoint), 1);
        }
        Self {
            now_ms: 1,
            sequence: 1,
            fleet: FleetView::new(beat(1, 1)),
            duty: StoreDuty::default(),
            retries: RetryBudget::new(RULE),
            sent: Vec::new(),
            asked: Vec::new(),
            shares: ShareWindow::new(4_000),
            health: EndpointHealth::default(),
            lag: LoopLag::default(),
            shed: WorkShed::default(),
            suspects,
            gate: WakeGate::default(),
        }
    }

    /// A tenth of a second of work: beats come, requests are sent and lost.
    fn work(&mut self, load: u8) {
        self.now_ms += 100;
        let now = self.now_ms;
        self.sequence += 1;
        for number in 2..=BOXES {
            self.fleet
                .hear(beat(number, self.sequence), Incarnation(1), now);
        }
        for _ in 0..load {
            self.retries.note_request(SERVICE, now);
            self.asked.push(now);
            if self.retries.take(SERVICE, now) {
                self.sent.push(now);
            }
            self.shares.note_asked(7, 100, now);
            self.shares.note_given(7, 80, ShareLevel::WITHIN, now);
        }
        let sign = match load % 3 {
            0 => EndpointSign::Failed,
            1 => EndpointSign::Silent,
            _ => EndpointSign::Answered,
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
        let own = OwnReach::default();
        let _ = self.duty.is_due(watchers, own, now);
        let _ = self.duty.probes(watchers, own, now);
        self.shed.note_work(0.2, late_ms, now);
        self.suspects.expire(now);
        self.lag.note(late_ms, now)
    }

    fn jump(&mut self, ms: u64) {
        self.now_ms += ms;
        self.gate.wake(self.now_ms);
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
        prop_assert!(own.health.is_open(own.now_ms));
        prop_assert!(!own.lag.is_too_late_for(500));
        prop_assert!(own.shed.refused_part(7) < 1.0);
        prop_assert!(own.is_within_budget());
        let day_ms = 86_400_000;
        let is_held = own.suspects.quarantine(GUILTY, own.now_ms).is_some();
        prop_assert_eq!(is_held, own.now_ms < day_ms);
        prop_assert!(own.fleet.owner(EndpointId(1), "a", own.now_ms) != BoxKey(0));
    }
}
