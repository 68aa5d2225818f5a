use super::*;
use crate::gateway::{EngineSpec, PrefillSpeed, PromptPart, RunKey};
use crate::ids::BoxKey;
use proptest::prelude::*;

const BEYOND: ShareLevel = ShareLevel::new(1.5);
const SPEC: EngineSpec = EngineSpec {
    slots: 4,
    memory: 100_000,
};

/// 20 ms for every first event, 34 tokens a millisecond, no time for pairs.
const SPEED: PrefillSpeed = PrefillSpeed {
    fixed_us: 20_000,
    kilotoken_us: 29_412,
    megapair_us: 0,
};

fn request(id: u64, input: u32) -> AdmissionRequest {
    AdmissionRequest {
        workspace: 1,
        objective_ms: 1_000,
        shortest_objective_ms: 600,
        budget_ms: 6_000,
        level: ShareLevel::WITHIN,
        input,
        output: 50,
        parts: vec![PromptPart { id, tokens: input }],
    }
}

fn load_with(runs: u32, input: u32) -> EngineLoad {
    let mut load = EngineLoad::new(SPEC, SPEED.into());
    for number in 0..runs {
        let key = RunKey {
            entry: BoxKey(1),
            number,
        };
        load.place(key, &request(u64::from(number), input), 1_000);
    }
    load
}

/// The parts that these tests are about, whatever the measured defaults are.
const RULE: AdmissionRule = AdmissionRule {
    objective_fraction: 0.8,
    beyond_share_fraction: 0.25,
    own_prefill_weight: 1.0,
    long_prompt_fraction: 0.2,
    memory_fraction: 0.6,
};

fn granted(load: &EngineLoad, request: &AdmissionRequest, level: ShareLevel, others: u32) -> bool {
    let request = request.clone().level(level);
    let verdict = RULE.decide(load, &request, others, 1_000);
    matches!(verdict, EngineVerdict::Granted(_))
}

#[test]
fn a_workspace_beyond_its_share_is_served_only_where_nothing_waits() {
    let busy = load_with(1, 6_800);
    assert!(granted(&busy, &request(9, 500), ShareLevel::WITHIN, 0));
    assert!(!granted(&busy, &request(9, 500), BEYOND, 0));
    assert!(granted(&load_with(0, 0), &request(9, 500), BEYOND, 0));
}

#[test]
fn a_prompt_within_its_share_waits_up_to_its_part_of_the_objective() {
    // 5,000 tokens take 147 ms each, its own 2,000 another 59, all but reading 20 ms.
    assert!(granted(
        &load_with(2, 5_000),
        &request(9, 2_000),
        ShareLevel::WITHIN,
        0
    ));
    assert!(!granted(
        &load_with(3, 5_000),
        &request(9, 2_000),
        ShareLevel::WITHIN,
        0
    ));
}

#[test]
fn what_every_first_event_takes_is_not_held_against_a_workspace_beyond_its_share() {
    let slow_start = PrefillSpeed {
        fixed_us: 150_000,
        ..SPEED
    };
    let idle = EngineLoad::new(SPEC, slow_start.into());
    assert!(granted(&idle, &request(9, 500), ShareLevel::new(1.2), 0));
    let all_late = PrefillSpeed {
        fixed_us: 700_000,
        ..SPEED
    };
    let idle = EngineLoad::new(SPEC, all_late.into());
    assert!(granted(&idle, &request(9, 500), ShareLevel::WITHIN, 0));
}

#[test]
fn boxes_that_decide_unseen_divide_the_engine() {
    let busy = load_with(1, 3_000);
    assert!(granted(&busy, &request(9, 500), ShareLevel::WITHIN, 0));
    assert!(!granted(&busy, &request(9, 500), ShareLevel::WITHIN, 5));
}

#[test]
fn memory_is_left_to_the_cache_but_a_large_prompt_may_run_alone() {
    assert!(!granted(
        &load_with(1, 1_000),
        &request(9, 60_000),
        ShareLevel::WITHIN,
        0
    ));
    let mut large = request(9, 70_000);
    large.objective_ms = 6_000;
    large.shortest_objective_ms = 6_000;
    assert!(granted(&load_with(0, 0), &large, ShareLevel::WITHIN, 0));
}

#[test]
fn slots_are_never_exceeded() {
    assert!(!granted(
        &load_with(4, 10),
        &request(9, 10),
        ShareLevel::WITHIN,
        0
    ));
}

#[test]
fn the_further_beyond_its_share_the_less_may_wait() {
    let busy = load_with(1, 2_000);
    assert!(granted(&busy, &request(9, 500), ShareLevel::new(1.0), 0));
    assert!(!granted(&busy, &request(9, 500), ShareLevel::new(2.0), 0));
}

#[test]
fn a_prompt_too_long_to_be_in_time_is_read_where_little_waits() {
    assert!(granted(
        &load_with(0, 0),
        &request(9, 30_000),
        ShareLevel::WITHIN,
        0
    ));
    assert!(!granted(
        &load_with(1, 10_000),
        &request(9, 30_000),
        ShareLevel::WITHIN,
        0
    ));
    assert!(!granted(&load_with(0, 0), &request(9, 30_000), BEYOND, 0));
}

/// Has a box that knows all of an engine, and one that knows only some of its runs, decide.
fn two_views(
    all: u32,
    own: u32,
    input: u32,
    kept: bool,
) -> (EngineLoad, EngineLoad, AdmissionRequest) {
    let mut request = request(9, input);
    request.parts = vec![
        PromptPart {
            id: 500,
            tokens: input / 2,
        },
        PromptPart {
            id: 501,
            tokens: input - input / 2,
        },
    ];
    let (mut owner, mut entry) = (
        EngineLoad::new(SPEC, SPEED.into()),
        EngineLoad::new(SPEC, SPEED.into()),
    );
    if kept {
        owner.note_cached(&request.parts[..1]);
    }
    for number in 0..all {
        let key = RunKey {
            entry: BoxKey(1),
            number,
        };
        let run = self::request(u64::from(number), 1_000);
        owner.place(key, &run, 1_000);
        if number < own {
            entry.place(key, &run, 1_000);
        }
    }
    (owner, entry, request)
}

#[test]
fn one_beyond_its_share_waits_no_longer_than_one_within_whatever_the_rule_says() {
    let (busy, request) = (load_with(3, 5_000), request(9, 2_000));
    assert!(!granted(&busy, &request, ShareLevel::WITHIN, 0));
    let rule = AdmissionRule {
        beyond_share_fraction: 10.0,
        ..RULE
    };
    let request = request.level(ShareLevel::new(1.0));
    let verdict = rule.decide(&busy, &request, 0, 1_000);
    assert!(matches!(verdict, EngineVerdict::Declined(_)));
}

#[test]
fn a_flood_is_refused_without_a_question_where_its_own_part_takes_too_long() {
    let (_, entry, request) = two_views(0, 0, 6_000, true);
    // Half of the prompt is its own: 88 ms beside the 20 of any, of an objective of 600.
    let at = |times| request.clone().level(ShareLevel::new(times));
    let hopeless = |times| RULE.local_decline_ms(&entry, &at(times), 1_000);
    assert_eq!(
        hopeless(0.9),
        None,
        "a workspace within its share has its engines asked"
    );
    assert_eq!(hopeless(1.05), None);
    assert!(hopeless(2.0).is_some());
    let anywhere = |times| RULE.fastest_decline_ms(&SPEED.into(), &at(times));
    assert_eq!([0.9, 1.05].map(anywhere), [None; 2]);
    assert!(anywhere(2.0).is_some());
}

proptest! {
    /// What a box declines alone, the box that knows the engine would have declined as well.
    #[test]
    fn a_box_declines_alone_only_what_the_owner_would(
        all in 0_u32..4,
        own in 0_u32..4,
        input in 100_u32..20_000,
        times in 0.5_f64..4.0,
        kept: bool,
    ) {
        let (owner, entry, request) = two_views(all, own.min(all), input, kept);
        let level = ShareLevel::new(times);
        let request = request.level(level);
        if RULE.local_decline_ms(&entry, &request, 1_000).is_some() {
            prop_assert!(!granted(&owner, &request, level, 0));
        }
        let faster = PrefillSpeed { fixed_us: 10_000, ..SPEED };
        if RULE.fastest_decline_ms(&faster.into(), &request).is_some() {
            prop_assert!(!granted(&owner, &request, level, 0));
        }
    }
}
