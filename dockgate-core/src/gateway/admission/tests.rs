use super::*;
use crate::gateway::{EngineSpec, PromptPart, RunKey};
use crate::ids::BoxKey;

const BEYOND: ShareLevel = ShareLevel::new(1.5);
const SPEC: EngineSpec = EngineSpec {
    slots: 4,
    memory: 100_000,
};

fn ask(id: u64, input: u32) -> EngineAsk {
    EngineAsk {
        workspace: 1,
        objective_ms: 1_000,
        shortest_ms: 600,
        input,
        output: 50,
        parts: vec![PromptPart { id, tokens: input }],
    }
}

fn load_with(runs: u32, input: u32) -> EngineLoad {
    let mut load = EngineLoad::new(SPEC);
    for number in 0..runs {
        let key = RunKey {
            entry: BoxKey(1),
            number,
        };
        load.place(key, &ask(u64::from(number), input), 1_000);
    }
    load
}

/// The parts that these tests are about, whatever the measured defaults are.
const RULE: AdmissionRule = AdmissionRule {
    most_part: 0.8,
    beyond_share_part: 0.25,
    long_part: 0.2,
    memory_part: 0.6,
};

fn granted(load: &EngineLoad, ask: &EngineAsk, level: ShareLevel, others: u32) -> bool {
    let verdict = RULE.decide(load, ask, level, others, 1_000);
    matches!(verdict, EngineVerdict::Granted(_))
}

#[test]
fn a_workspace_beyond_its_share_is_served_only_where_nothing_waits() {
    let busy = load_with(1, 6_800);
    assert!(granted(&busy, &ask(9, 500), ShareLevel::WITHIN, 0));
    assert!(!granted(&busy, &ask(9, 500), BEYOND, 0));
    assert!(granted(&load_with(0, 0), &ask(9, 500), BEYOND, 0));
}

#[test]
fn a_prompt_within_its_share_waits_up_to_its_part_of_the_objective() {
    // 5,000 tokens take 147 ms each, its own 2,000 another 59, all but reading 20 ms.
    assert!(granted(
        &load_with(2, 5_000),
        &ask(9, 2_000),
        ShareLevel::WITHIN,
        0
    ));
    assert!(!granted(
        &load_with(3, 5_000),
        &ask(9, 2_000),
        ShareLevel::WITHIN,
        0
    ));
}

#[test]
fn boxes_that_decide_unseen_divide_the_engine() {
    let busy = load_with(1, 3_000);
    assert!(granted(&busy, &ask(9, 500), ShareLevel::WITHIN, 0));
    assert!(!granted(&busy, &ask(9, 500), ShareLevel::WITHIN, 5));
}

#[test]
fn memory_is_left_to_the_cache_but_a_large_prompt_may_run_alone() {
    assert!(!granted(
        &load_with(1, 1_000),
        &ask(9, 60_000),
        ShareLevel::WITHIN,
        0
    ));
    let mut large = ask(9, 70_000);
    large.objective_ms = 6_000;
    large.shortest_ms = 6_000;
    assert!(granted(&load_with(0, 0), &large, ShareLevel::WITHIN, 0));
}

#[test]
fn slots_are_never_exceeded() {
    assert!(!granted(
        &load_with(4, 10),
        &ask(9, 10),
        ShareLevel::WITHIN,
        0
    ));
}

#[test]
fn the_further_beyond_its_share_the_less_may_wait() {
    let busy = load_with(1, 2_000);
    assert!(granted(&busy, &ask(9, 500), ShareLevel::new(1.0), 0));
    assert!(!granted(&busy, &ask(9, 500), ShareLevel::new(2.0), 0));
}

#[test]
fn a_prompt_too_long_to_be_in_time_is_read_where_little_waits() {
    assert!(granted(
        &load_with(0, 0),
        &ask(9, 30_000),
        ShareLevel::WITHIN,
        0
    ));
    assert!(!granted(
        &load_with(1, 10_000),
        &ask(9, 30_000),
        ShareLevel::WITHIN,
        0
    ));
    assert!(!granted(&load_with(0, 0), &ask(9, 30_000), BEYOND, 0));
}
