use super::*;
use proptest::prelude::*;

const MB: u64 = 1 << 20;
const MACHINE: u64 = 88 * MB;
const IDLE: u64 = 12 * MB;
/// What a request really takes, as a multiple of what is counted.
const REAL_COST: u64 = 2;

fn idle_box() -> MemoryBudget {
    let mut budget = MemoryBudget::new(Some(MACHINE));
    budget.record_sample(Some(IDLE), 0);
    budget
}

/// Guards against a flood that exceeds the memory, although each request takes twice what is
/// counted, and against refusals of a small workspace beside it.
#[test]
fn flood_stays_within_the_memory_and_a_small_workspace_is_admitted() {
    const BODY: u64 = 100 << 10;
    let mut budget = idle_box();
    let (mut held, mut peak, mut refused) = (0, 0, 0);
    for step in 1..200 {
        for _ in 0..10 {
            match budget.try_charge(1, BODY) {
                true => held += BODY,
                false => refused += 1,
            }
        }
        assert!(budget.try_charge(2, BODY), "step {step}");
        peak = peak.max(IDLE + (held + BODY) * REAL_COST);
        budget.record_sample(Some(peak), step * 100);
        budget.release(Some(2), BODY);
    }
    assert!(peak < MACHINE / 10 * 8, "peak of {peak} bytes");
    assert!(
        held * REAL_COST > MACHINE / 2,
        "{held} bytes are little use"
    );
    assert!(refused > 0);
}

/// Guards against refusals for ever: the allocator keeps the memory of a flood that has ended.
#[test]
fn memory_kept_after_a_flood_causes_no_refusals() {
    let mut budget = idle_box();
    budget.charge(Some(1), 30 * MB);
    assert_eq!(
        budget.record_sample(Some(75 * MB), 100),
        MemoryChange::Short
    );
    assert!(!budget.try_charge(2, MB) && !budget.accepts_connections());
    budget.release(Some(1), 30 * MB);
    assert_eq!(budget.record_sample(Some(75 * MB), 200), MemoryChange::None);
    // The process grows a little although most of what it keeps is free.
    budget.record_sample(Some(76 * MB), 300);
    assert!(budget.try_charge(1, 20 * MB) && budget.accepts_connections());
    assert_eq!(budget.surplus_connections(), 0);
    // The refusal between the first two samples diverts as well.
    assert_eq!(
        budget.record_sample(Some(75 * MB), 3_100),
        MemoryChange::None
    );
    assert_eq!(
        budget.record_sample(Some(75 * MB), 3_200),
        MemoryChange::Back
    );
}

/// Guards against refusals for ever: memory that the process returns after a short use which is not
/// counted, as for a large configuration, corrects the count no longer.
#[test]
fn correction_that_later_samples_contradict_ends() {
    let mut budget = idle_box();
    budget.charge(Some(1), MB);
    budget.record_sample(Some(70 * MB), 100);
    assert!(budget.diverts_connections(100));
    for step in 2..600 {
        budget.record_sample(Some(20 * MB), step * 100);
    }
    assert!(!budget.diverts_connections(60_000));
    assert!(budget.use_bytes() < 21 * MB, "{}", budget.use_bytes());
    assert!(budget.try_charge(2, 20 * MB));
    // The real cost of the next load is noticed below the former peak.
    budget.record_sample(Some(60 * MB), 60_100);
    assert!(budget.use_bytes() >= 60 * MB);
}

/// Guards against a drift of what the process is believed to need without load, by samples that rise
/// and fall for other causes.
#[test]
fn memory_that_rises_and_falls_without_load_does_not_add_up() {
    let mut budget = idle_box();
    budget.charge(Some(1), 10 * MB);
    budget.record_sample(Some(30 * MB), 100);
    budget.release(Some(1), 9 * MB);
    for step in 2..2_000 {
        let resident = if step % 600 < 300 { 20 * MB } else { 45 * MB };
        budget.record_sample(Some(resident), step * 100);
        assert!(budget.use_bytes() <= 46 * MB, "step {step}");
    }
    budget.release(Some(1), MB);
    for step in 2_000..2_600 {
        budget.record_sample(Some(20 * MB), step * 100);
    }
    assert!(budget.use_bytes() < 21 * MB, "{}", budget.use_bytes());
}

/// Guards against a flood of bodies that fill slowly, whose memory the first samples lack.
#[test]
fn correction_outlasts_a_few_lower_samples() {
    let mut budget = idle_box();
    budget.charge(Some(1), 10 * MB);
    budget.record_sample(Some(IDLE + 20 * MB), 100);
    for step in 2..7 {
        budget.record_sample(Some(IDLE), step * 100);
    }
    assert!(budget.use_bytes() > IDLE + 19 * MB);
}

/// Guards against a box without a readable sample that limits nothing, and against one that refuses
/// between two samples while new callers still arrive.
#[test]
fn count_alone_limits_where_no_sample_can_be_read() {
    let mut budget = MemoryBudget::new(Some(MACHINE));
    budget.record_sample(None, 0);
    assert!(budget.try_charge(1, 60 * MB));
    assert!(!budget.try_charge(1, 20 * MB));
    budget.record_sample(None, 100);
    assert!(budget.diverts_connections(100));
    budget.record_sample(None, 3_100);
    assert!(!budget.diverts_connections(3_100));
    budget.charge(None, 2 * MB);
    budget.record_sample(None, 3_200);
    assert!(budget.diverts_connections(3_200));
}

/// A request with an answer that is read whole.
#[derive(Debug, Clone, Copy)]
struct PlayedRequest {
    workspace: u64,
    counted: u64,
    answer: AnswerCharge,
}

/// Admits a request with a body as the daemon does.
fn admit(budget: &mut MemoryBudget, workspace: u64, body: u64) -> Option<PlayedRequest> {
    let counted = MemoryBudget::REQUEST_BYTES + body;
    if !budget.try_charge(workspace, counted) {
        return None;
    }
    let service = 1;
    let reserved = budget.try_reserve_answer(AnswerKey { workspace, service });
    if reserved.is_none() {
        budget.release(Some(workspace), counted);
    }
    reserved.map(|answer| PlayedRequest {
        workspace,
        counted,
        answer,
    })
}

fn grows(budget: &mut MemoryBudget, request: &mut PlayedRequest, bytes: u64) -> bool {
    budget.try_grow_answer(&mut request.answer, bytes) == AnswerGrowth::Counted
}

fn end(budget: &mut MemoryBudget, request: PlayedRequest) {
    budget.release(Some(request.workspace), request.counted);
    budget.release_answer(request.answer);
}

/// Guards against answers to admitted requests that leave no memory to other workspaces, or that are
/// cut although their requests have more.
#[test]
fn answers_of_a_flood_leave_room_for_other_workspaces() {
    const BODY: u64 = 600_000;
    let mut budget = idle_box();
    let mut flood = Vec::new();
    while let Some(request) = admit(&mut budget, 1, BODY) {
        flood.push(request);
    }
    for request in &mut flood {
        if !grows(&mut budget, request, BODY) {
            let body = std::mem::replace(&mut request.counted, MemoryBudget::REQUEST_BYTES);
            let body = body - MemoryBudget::REQUEST_BYTES;
            budget.transfer_to_answer(&mut request.answer, body);
            assert!(grows(&mut budget, request, BODY));
        }
        budget.complete_answer(&mut request.answer, true);
        let other = admit(&mut budget, 2, 0).expect("another workspace is admitted");
        end(&mut budget, other);
    }
}

/// Guards against a flood that is admitted without room for answers of a size that is known.
#[test]
fn answers_of_a_known_size_fit_once_their_requests_are_admitted() {
    const ANSWER: u64 = 600_000;
    let mut budget = idle_box();
    for _ in 0..50 {
        let mut request = admit(&mut budget, 1, 0).unwrap();
        assert!(grows(&mut budget, &mut request, ANSWER));
        budget.complete_answer(&mut request.answer, true);
        end(&mut budget, request);
    }
    let mut flood = Vec::new();
    while let Some(request) = admit(&mut budget, 1, 0) {
        flood.push(request);
    }
    assert!(flood.len() > 60, "{} requests are little use", flood.len());
    for request in &mut flood {
        assert!(grows(&mut budget, request, ANSWER));
        budget.complete_answer(&mut request.answer, true);
    }
    assert!(budget.use_bytes() <= MACHINE / 10 * 8);
}

/// Guards against a workspace that is shut out since its answers are large.
#[test]
fn one_request_with_a_large_answer_is_admitted_beside_a_flood() {
    let mut budget = idle_box();
    for _ in 0..50 {
        let mut request = admit(&mut budget, 2, 0).unwrap();
        assert!(grows(&mut budget, &mut request, 10 * MB));
        budget.complete_answer(&mut request.answer, true);
        end(&mut budget, request);
    }
    while admit(&mut budget, 1, 100_000).is_some() {}
    assert!(admit(&mut budget, 2, 0).is_some());
    assert!(admit(&mut budget, 2, 0).is_none());
}

/// Guards against a reservation that is lost with an attempt whose answer broke off.
#[test]
fn reservation_of_an_answer_that_broke_off_holds_for_the_next_attempt() {
    let mut budget = idle_box();
    let mut request = admit(&mut budget, 1, 0).unwrap();
    let reserved = budget.use_bytes();
    assert!(grows(&mut budget, &mut request, MB));
    budget.reset_answer(&mut request.answer);
    assert_eq!(budget.use_bytes(), reserved);
    end(&mut budget, request);
    assert_eq!(budget.use_bytes(), IDLE);
    assert!(budget.answer_uses.is_empty());
}

/// A step of the requests of flooding workspaces.
#[derive(Debug, Clone, Copy)]
enum FloodStep {
    Admit { workspace: u64, body: u64 },
    Grow { request: usize, bytes: u64 },
    Complete { request: usize },
    Transfer { request: usize },
    BreakOff { request: usize },
    End { request: usize },
}

fn flood_steps() -> impl Strategy<Value = FloodStep> {
    let index = 0_usize..1_000;
    prop_oneof![
        5 => (1_u64..4, 0_u64..MB)
            .prop_map(|(workspace, body)| FloodStep::Admit { workspace, body }),
        5 => (index.clone(), 1_u64..MB)
            .prop_map(|(request, bytes)| FloodStep::Grow { request, bytes }),
        1 => index.clone().prop_map(|request| FloodStep::Complete { request }),
        1 => index.clone().prop_map(|request| FloodStep::Transfer { request }),
        1 => index.clone().prop_map(|request| FloodStep::BreakOff { request }),
        1 => index.prop_map(|request| FloodStep::End { request }),
    ]
}

proptest! {
    /// Guards against answers and requests of some workspaces that exceed the memory or shut out
    /// a workspace that holds nothing.
    #[test]
    fn small_request_is_admitted_beside_any_answers_of_others(
        steps in prop::collection::vec(flood_steps(), 1..400),
    ) {
        let mut budget = idle_box();
        let mut requests: Vec<PlayedRequest> = Vec::new();
        for step in steps {
            let count = requests.len().max(1);
            match step {
                FloodStep::Admit { workspace, body } => {
                    requests.extend(admit(&mut budget, workspace, body));
                }
                _ if requests.is_empty() => {}
                FloodStep::Grow { request, bytes } => {
                    grows(&mut budget, &mut requests[request % count], bytes);
                }
                FloodStep::Complete { request } => {
                    budget.complete_answer(&mut requests[request % count].answer, true);
                }
                FloodStep::Transfer { request } => {
                    let request = &mut requests[request % count];
                    let body = request.counted - MemoryBudget::REQUEST_BYTES;
                    request.counted -= body;
                    budget.transfer_to_answer(&mut request.answer, body);
                }
                FloodStep::BreakOff { request } => {
                    budget.reset_answer(&mut requests[request % count].answer);
                }
                FloodStep::End { request } => {
                    let ended = requests.swap_remove(request % count);
                    end(&mut budget, ended);
                }
            }
            prop_assert!(budget.use_bytes() <= MACHINE / 10 * 8);
            let small = admit(&mut budget, 9, 0);
            prop_assert!(small.is_some(), "{} bytes in use", budget.use_bytes());
            small.into_iter().for_each(|request| end(&mut budget, request));
        }
        requests.into_iter().for_each(|request| end(&mut budget, request));
        prop_assert_eq!(budget.use_bytes(), IDLE);
        prop_assert!(budget.held.is_empty() && budget.answer_uses.is_empty());
    }

    /// Guards against counts that drift: whatever was admitted and released, an empty box has its
    /// whole budget, and what was admitted never exceeds the limit.
    #[test]
    fn released_bytes_are_available_again(
        sizes in prop::collection::vec((0_u64..4, 1_u64..4 * MB), 1..200),
    ) {
        let mut budget = idle_box();
        let mut admitted = Vec::new();
        for (workspace, bytes) in sizes {
            if budget.try_charge(workspace, bytes) {
                admitted.push((workspace, bytes));
            }
            prop_assert!(budget.use_bytes() <= MACHINE / 10 * 8);
        }
        for (workspace, bytes) in admitted {
            budget.release(Some(workspace), bytes);
        }
        prop_assert_eq!(budget.use_bytes(), IDLE);
        prop_assert!(budget.held.is_empty());
    }

    /// Guards against limits where the settings name no memory.
    #[test]
    fn nothing_is_refused_without_a_limit(bytes in 0_u64..1 << 40, resident in 0_u64..1 << 40) {
        let mut budget = MemoryBudget::new(None);
        prop_assert!(budget.try_charge(1, bytes));
        prop_assert_eq!(budget.record_sample(Some(resident), 1), MemoryChange::None);
        prop_assert!(budget.accepts_connections() && budget.surplus_connections() == 0);
    }
}
