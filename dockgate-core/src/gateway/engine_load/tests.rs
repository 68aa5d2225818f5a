use super::*;
use crate::gateway::PromptPart;
use crate::gateway::ShareLevel;
use crate::ids::BoxKey;
use proptest::prelude::*;

/// 20 ms for every first event, 34 tokens per millisecond, no attention cost.
const SPEED: PrefillSpeed = PrefillSpeed {
    fixed_us: 20_000,
    kilotoken_us: 29_412,
    megapair_us: 0,
};

fn engine() -> EngineLoad {
    EngineLoad::new(SPEC, SPEED.into())
}

const SPEC: EngineSpec = EngineSpec {
    slots: 64,
    memory: 232_000,
};

fn request(shared_part: u64, own_part: u64, input: u32) -> AdmissionRequest {
    let shared = input / 2;
    AdmissionRequest {
        workspace: 1,
        objective_ms: 600,
        shortest_objective_ms: 600,
        budget_ms: 6_000,
        level: ShareLevel::WITHIN,
        input,
        output: 50,
        parts: vec![
            PromptPart {
                id: shared_part,
                tokens: shared,
            },
            PromptPart {
                id: own_part,
                tokens: input - shared,
            },
        ],
    }
}

const fn key(number: u32) -> RunKey {
    RunKey {
        entry: BoxKey(1),
        number,
    }
}

#[test]
fn prompt_waits_for_prompts_placed_before_it() {
    let mut load = engine();
    let alone = load.first_event_ms(&request(1, 1, 6_800), 1_000);
    assert!(
        (alone - 220.0).abs() < 1.0,
        "6800 tokens at 34 per ms, and 20 ms: {alone}"
    );
    load.place(key(1), &request(1, 1, 6_800), 1_000);
    let behind = load.first_event_ms(&request(2, 2, 6_800), 1_000);
    assert!((behind - 420.0).abs() < 1.0, "{behind}");
    let cached = load.first_event_ms(&request(1, 3, 6_800), 1_000);
    assert!(
        (cached - 320.0).abs() < 1.0,
        "half of it is cached: {cached}"
    );
    let later = load.first_event_ms(&request(2, 2, 6_800), 1_180);
    assert!(
        (later - 240.0).abs() < 1.0,
        "the backlog shrinks over time: {later}"
    );
}

#[test]
fn silent_engine_keeps_its_backlog() {
    let mut load = engine();
    load.place(key(1), &request(1, 1, 6_800), 1_000);
    load.place(key(2), &request(2, 2, 6_800), 1_000);
    let behind = load.first_event_ms(&request(3, 3, 6_800), 3_000);
    assert!(behind > 380.0, "both prompts are still waiting: {behind}");
}

#[test]
fn late_first_event_keeps_the_backlog_and_lowers_the_learned_speed() {
    let mut load = engine();
    load.place(key(1), &request(1, 1, 6_800), 1_000);
    load.place(key(2), &request(2, 2, 6_800), 1_000);
    load.start(key(1), 1_800, true);
    let behind = load.first_event_ms(&request(3, 3, 6_800), 1_800);
    assert!(
        behind > 420.0,
        "the second prompt still waits, and prefill is slow: {behind}"
    );
    assert_eq!(load.pending_tokens(), 6_800);
}

#[test]
fn speed_is_learned_from_reports_if_other_boxes_send_to_the_engine() {
    let mut load = engine();
    load.place(key(1), &request(1, 1, 6_800), 1_000);
    load.start(key(1), 1_900, false);
    assert_eq!(
        load.model().speed(),
        SPEED,
        "the engine may have been busy with other prompts"
    );
    let speed = PrefillSpeed {
        fixed_us: 50_000,
        ..SPEED
    };
    load.apply_report(300, speed, 2_000);
    let first = load.first_event_ms(&request(2, 2, 6_800), 2_100);
    assert!((first - 450.0).abs() < 1.0, "200 + 50 + 200 ms: {first}");
}

#[test]
fn overtaken_run_counts_as_prefilled() {
    let mut load = engine();
    load.place(key(1), &request(1, 1, 6_800), 1_000);
    load.place(key(2), &request(2, 2, 6_800), 1_200);
    load.start(key(2), 1_450, true);
    assert_eq!(
        load.pending_tokens(),
        0,
        "engines prefill in order of arrival"
    );
    assert_eq!(load.runs(), 2, "the first run may still produce output");
}

#[test]
fn run_without_further_reports_expires() {
    let mut load = engine();
    load.place(key(1), &request(1, 1, 6_800), 1_000);
    load.retain(2_000, |_| false);
    assert_eq!(load.runs(), 1);
    load.retain(9_000, |_| false);
    assert_eq!(
        (load.runs(), load.memory(), load.pending_tokens()),
        (0, 0, 0)
    );
}

proptest! {
    /// Reordered, repeated or lost messages must not corrupt the totals.
    #[test]
    fn totals_match_the_runs(events in prop::collection::vec((0_u32..12, 0_u8..4, 1_u32..20_000), 1..400)) {
        let mut load = engine();
        let mut now_ms = 1_000;
        for (number, event, input) in events {
            now_ms += 37;
            match event {
                0 | 1 => load.place(key(number), &request(u64::from(number), 7, input), now_ms),
                2 => load.start(key(number), now_ms, true),
                _ => load.end(key(number)),
            }
            let unstarted = load.runs.iter().filter(|(_, run)| !run.started);
            let unstarted: Vec<RunKey> = unstarted.map(|(key, _)| *key).collect();
            prop_assert!(load.waiting.iter().all(|key| unstarted.contains(key)));
            let mut once = load.waiting.clone();
            once.sort_unstable();
            once.dedup();
            prop_assert_eq!(once.len(), load.waiting.len());
            let memory: u64 = load.runs.values().map(|run| u64::from(run.memory)).sum();
            prop_assert_eq!(memory, load.memory);
            prop_assert!(load.backlog_ms(now_ms).is_finite());
        }
    }
}

/// Guards against rates that depend on the order of first events, on whether the engine was idle,
/// or on prompts whose callers have left.
#[test]
fn measured_rate_is_that_of_the_engine() {
    for (overlaps, reversed, cancelled) in [
        (false, false, false),
        (true, false, false),
        (true, true, false),
        (true, false, true),
    ] {
        let mut load = engine();
        for number in 0..60_u32 {
            let placed_ms = 1_000 + 1_000 * u64::from(number);
            let input = [1_000, 3_400][number as usize % 2];
            let took_ms = (PrefillMeter::nominal_ms(PrefillWork::new(0, input)) * 1.25) as u64;
            let place = |load: &mut EngineLoad, run: u32, after_ms| {
                let part = u64::from(number * 10 + run);
                let request = request(part * 2, part * 2 + 1, input);
                load.place(key(number * 3 + run), &request, placed_ms + after_ms);
            };
            place(&mut load, 0, 0);
            if overlaps {
                place(&mut load, 1, 1);
            }
            if cancelled && number % 3 == 0 {
                place(&mut load, 2, 2);
                load.end(key(number * 3 + 2));
            }
            let order = if reversed { [1, 0] } else { [0, 1] };
            let order = if overlaps { &order[..] } else { &[0] };
            for (run, rank) in order.iter().zip(1..) {
                let started_ms = placed_ms + 20 + took_ms * rank;
                load.start(key(number * 3 + run), started_ms, true);
            }
        }
        let typical_ms = PrefillMeter::nominal_ms(PrefillWork::new(0, 2_000));
        let ratio = load.prefill_rate(20.0).unwrap() * typical_ms / 2_000.0 * 1.25;
        let is_close = (ratio - 1.0).abs() < 0.05;
        assert!(is_close, "{ratio}: {overlaps} {reversed} {cancelled}");
    }
}
