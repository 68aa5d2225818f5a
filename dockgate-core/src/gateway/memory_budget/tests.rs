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

proptest! {
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
