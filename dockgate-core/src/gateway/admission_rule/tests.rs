use super::*;
use crate::gateway::{EngineSpec, PrefillSpeed, PromptPart, RunKey};
use crate::ids::BoxKey;
use proptest::prelude::*;

const BEYOND: ShareLevel = ShareLevel::new(1.5);
const SPEC: EngineSpec = EngineSpec {
    slots: 4,
    memory: 100_000,
};

/// 20 ms for every first event, 34 tokens per millisecond, no attention cost.
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

/// A rule that does not depend on the defaults.
const RULE: AdmissionRule = AdmissionRule {
    objective_fraction: 0.8,
    beyond_share_fraction: 0.25,
    own_prefill_weight: 1.0,
    long_prompt_fraction: 0.2,
    memory_fraction: 0.6,
};

fn granted(
    load: &EngineLoad,
    request: &AdmissionRequest,
    level: ShareLevel,
    other_boxes: u32,
) -> bool {
    let request = request.clone().level(level);
    let verdict = RULE.decide(load, &request, other_boxes, 1_000);
    matches!(verdict, AdmissionVerdict::Granted(_))
}

#[test]
fn workspace_beyond_its_share_is_admitted_only_at_an_idle_engine() {
    let busy = load_with(1, 6_800);
    assert!(granted(&busy, &request(9, 500), ShareLevel::WITHIN, 0));
    assert!(!granted(&busy, &request(9, 500), BEYOND, 0));
    assert!(granted(&load_with(0, 0), &request(9, 500), BEYOND, 0));
}

#[test]
fn prompt_within_its_share_waits_up_to_the_objective_fraction() {
    // Each 5,000 tokens take 147 ms, its own 2,000 take 59 ms, and the fixed time is 20 ms.
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
fn fixed_time_does_not_count_against_a_workspace_beyond_its_share() {
    let slow_start = PrefillSpeed {
        fixed_us: 150_000,
        ..SPEED
    };
    let idle = EngineLoad::new(SPEC, slow_start.into());
    assert!(granted(&idle, &request(9, 500), ShareLevel::new(1.2), 0));
    let too_slow = PrefillSpeed {
        fixed_us: 700_000,
        ..SPEED
    };
    let idle = EngineLoad::new(SPEC, too_slow.into());
    assert!(granted(&idle, &request(9, 500), ShareLevel::WITHIN, 0));
}

#[test]
fn boxes_that_decide_independently_divide_the_engine() {
    let busy = load_with(1, 3_000);
    assert!(granted(&busy, &request(9, 500), ShareLevel::WITHIN, 0));
    assert!(!granted(&busy, &request(9, 500), ShareLevel::WITHIN, 5));
}

#[test]
fn memory_is_kept_for_the_cache_but_a_large_prompt_may_run_alone() {
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
fn allowed_wait_shrinks_with_pressure() {
    let busy = load_with(1, 2_000);
    assert!(granted(&busy, &request(9, 500), ShareLevel::new(1.0), 0));
    assert!(!granted(&busy, &request(9, 500), ShareLevel::new(2.0), 0));
}

#[test]
fn prompt_too_long_for_its_objective_is_admitted_if_little_waits() {
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

/// Returns the load as known to the owner (`all` runs) and to an entry box (`own` runs).
fn owner_and_entry_loads(
    all: u32,
    own: u32,
    input: u32,
    cached: bool,
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
    if cached {
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
fn beyond_share_fraction_above_one_grants_no_extra_wait() {
    let (busy, request) = (load_with(3, 5_000), request(9, 2_000));
    assert!(!granted(&busy, &request, ShareLevel::WITHIN, 0));
    let rule = AdmissionRule {
        beyond_share_fraction: 10.0,
        ..RULE
    };
    let request = request.level(ShareLevel::new(1.0));
    let verdict = rule.decide(&busy, &request, 0, 1_000);
    assert!(matches!(verdict, AdmissionVerdict::Declined(_)));
}

#[test]
fn entry_box_declines_a_flood_locally_if_the_unshared_part_takes_too_long() {
    let (_, entry, request) = owner_and_entry_loads(0, 0, 6_000, true);
    // Half of the prompt is unshared: 88 ms and the fixed 20 ms, of an objective of 600 ms.
    let at = |pressure| request.clone().level(ShareLevel::new(pressure));
    let local_decline = |pressure| RULE.local_decline_ms(&entry, &at(pressure), 1_000);
    assert_eq!(
        local_decline(0.9),
        None,
        "a workspace within its share is never declined locally"
    );
    assert_eq!(local_decline(1.05), None);
    assert!(local_decline(2.0).is_some());
    let fastest_decline = |pressure| RULE.fastest_decline_ms(&SPEED.into(), &at(pressure));
    assert_eq!([0.9, 1.05].map(fastest_decline), [None; 2]);
    assert!(fastest_decline(2.0).is_some());
}

proptest! {
    /// A local decision must not decline a prompt that the owner would admit.
    #[test]
    fn local_declines_agree_with_the_owner(
        all in 0_u32..4,
        own in 0_u32..4,
        input in 100_u32..20_000,
        pressure in 0.5_f64..4.0,
        cached: bool,
    ) {
        let (owner, entry, request) = owner_and_entry_loads(all, own.min(all), input, cached);
        let level = ShareLevel::new(pressure);
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

proptest! {
    /// Guards against predicted waits that differ from what the rule admits.
    #[test]
    fn prompts_are_admitted_once_their_predicted_wait_is_over(
        backlog_tokens in 1..40_000_u32,
        input in 1..30_000_u32,
        share in prop::sample::select(vec![0.0, 1.2, 2.5]),
    ) {
        let load = load_with(1, backlog_tokens);
        let request = request(9, input).level(ShareLevel::new(share));
        let work = load.work_of(&request);
        let backlog_ms = load.backlog_ms(1_000);
        let wait_ms = RULE.wait_ms(load.model(), work, &request, backlog_ms);
        prop_assume!(RULE.has_room_for(&load, &request));
        prop_assert_eq!(granted(&load, &request, request.level, 0), wait_ms == Some(0.0));
        let later_ms = 1_000 + wait_ms.unwrap_or(60_000.0).ceil() as u64 + 1;
        let verdict = RULE.decide(&load, &request, 0, later_ms);
        let is_granted = matches!(verdict, AdmissionVerdict::Granted(_));
        prop_assert_eq!(is_granted, wait_ms.is_some());
    }
}
