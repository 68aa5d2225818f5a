use super::*;
use crate::gateway::PromptPart;
use crate::ids::BoxKey;
use proptest::prelude::*;

const SPEC: EngineSpec = EngineSpec {
    slots: 64,
    memory: 232_000,
};

fn ask(subject: u64, own: u64, input: u32) -> EngineAsk {
    let shared = input / 2;
    EngineAsk {
        workspace: 1,
        objective_ms: 600,
        shortest_ms: 600,
        input,
        output: 50,
        parts: vec![
            PromptPart {
                id: subject,
                tokens: shared,
            },
            PromptPart {
                id: own,
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
fn a_prompt_waits_for_what_was_placed_before_it() {
    let mut load = EngineLoad::new(SPEC);
    let alone = load.first_event_ms(&ask(1, 1, 6_800), 1_000);
    assert!(
        (alone - 220.0).abs() < 1.0,
        "6800 tokens at 34 a ms, and 20 ms: {alone}"
    );
    load.place(key(1), &ask(1, 1, 6_800), 1_000);
    let behind = load.first_event_ms(&ask(2, 2, 6_800), 1_000);
    assert!((behind - 420.0).abs() < 1.0, "{behind}");
    let cached = load.first_event_ms(&ask(1, 3, 6_800), 1_000);
    assert!(
        (cached - 320.0).abs() < 1.0,
        "half of it is shared: {cached}"
    );
    let later = load.first_event_ms(&ask(2, 2, 6_800), 1_200);
    assert!((later - 220.0).abs() < 1.0, "time passes: {later}");
}

#[test]
fn a_first_event_that_is_late_keeps_the_backlog_and_teaches_the_speed() {
    let mut load = EngineLoad::new(SPEC);
    load.place(key(1), &ask(1, 1, 6_800), 1_000);
    load.place(key(2), &ask(2, 2, 6_800), 1_000);
    load.start(key(1), 1_800);
    let behind = load.first_event_ms(&ask(3, 3, 6_800), 1_800);
    assert!(
        behind > 420.0,
        "the second is still unread, and reading is slow: {behind}"
    );
    assert_eq!(load.unread(), 6_800);
}

#[test]
fn a_run_that_is_never_heard_of_again_is_forgotten() {
    let mut load = EngineLoad::new(SPEC);
    load.place(key(1), &ask(1, 1, 6_800), 1_000);
    load.retain(2_000, |_| false);
    assert_eq!(load.runs(), 1);
    load.retain(9_000, |_| false);
    assert_eq!((load.runs(), load.memory(), load.unread()), (0, 0, 0));
}

proptest! {
    /// Sums stay those of the runs, in whatever order messages come, doubled or lost.
    #[test]
    fn sums_stay_true(events in prop::collection::vec((0_u32..12, 0_u8..4, 1_u32..20_000), 1..400)) {
        let mut load = EngineLoad::new(SPEC);
        let mut now_ms = 1_000;
        for (number, event, input) in events {
            now_ms += 37;
            match event {
                0 | 1 => load.place(key(number), &ask(u64::from(number), 7, input), now_ms),
                2 => load.start(key(number), now_ms),
                _ => load.end(key(number)),
            }
            let unread: u64 = load
                .runs
                .values()
                .filter(|run| !run.started)
                .map(|run| u64::from(run.unread))
                .sum();
            let memory: u64 = load.runs.values().map(|run| u64::from(run.memory)).sum();
            prop_assert_eq!((unread, memory), (load.unread, load.memory));
            prop_assert!(EngineLoad::SLOWNESS.contains(&load.slowness));
        }
    }
}
