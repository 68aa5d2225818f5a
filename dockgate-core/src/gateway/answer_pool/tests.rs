use super::*;
use proptest::prelude::*;

const MACHINE: u64 = 110 << 20;
const STEP: u64 = 64 << 10;

/// Guards against a box that answers without end grow beyond its memory, or leave without room for
/// sound ones.
#[test]
fn answers_without_end_leave_room_for_others() {
    for count in [1, 10, 100] {
        let mut pool = AnswerPool::new(Some(MACHINE));
        let mut held = vec![0; count];
        loop {
            let mut has_grown = false;
            for answer in &mut held {
                if pool.try_grow(*answer, STEP) {
                    *answer += STEP;
                    has_grown = true;
                }
            }
            if !has_grown {
                break;
            }
        }
        let size = MACHINE / 2;
        assert!(held.iter().sum::<u64>() <= size);
        // One more may take half of what the others leave, since it must not hold more than is free.
        let other = size / (2 * (count as u64 + 1)) - STEP;
        assert!(pool.try_grow(0, other), "beside {count}");
    }
}

#[test]
fn pool_without_a_machine_limits_nothing() {
    let mut pool = AnswerPool::new(None);
    assert!(pool.try_grow(1 << 40, 1 << 40));
}

proptest! {
    /// Beyond the small answers, the pool is never exceeded, and it is empty once all are released.
    #[test]
    fn pool_is_bounded_in_any_order(
        steps in proptest::collection::vec((0_usize..20, 1_u64..(4 << 20), any::<bool>()), 1..400),
    ) {
        let mut pool = AnswerPool::new(Some(MACHINE));
        let mut held = [0_u64; 20];
        for (answer, bytes, ends) in steps {
            match ends {
                true => pool.release(std::mem::take(&mut held[answer])),
                false if pool.try_grow(held[answer], bytes) => held[answer] += bytes,
                false => {}
            }
            let used: u64 = held.iter().sum();
            prop_assert_eq!(pool.used, used);
            prop_assert!(used <= MACHINE / 2 + 20 * AnswerPool::SMALL_BYTES);
        }
        held.iter().for_each(|bytes| pool.release(*bytes));
        prop_assert_eq!(pool.used, 0);
    }
}
