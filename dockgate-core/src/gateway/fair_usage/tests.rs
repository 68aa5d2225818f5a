use super::*;

/// Takes a prompt of 100 units each 10 ms.
fn taking_at_rate(fair_per_ms: f64) -> FairUsage {
    let mut taking = FairUsage::new(0.0, 0).fair(fair_per_ms).fleet_part(1.0);
    (0..10_000)
        .step_by(10)
        .for_each(|now_ms| taking.record(100.0, now_ms));
    taking
}

#[test]
fn what_is_taken_is_set_against_what_is_fair() {
    let part = |fair| taking_at_rate(fair).part(0.0, 10_000);
    assert!((part(10.0) - 1.0).abs() < 0.05);
    assert!((part(20.0) - 0.5).abs() < 0.05);
}

#[test]
fn what_is_not_taken_any_more_is_soon_forgotten() {
    assert!(taking_at_rate(10.0).part(0.0, 13_000) < 0.1);
}

#[test]
fn where_prompts_come_seldom_the_fleet_says_what_is_taken() {
    let taking = FairUsage::new(0.0, 0).fair(0.1).fleet_part(1.7);
    assert!((taking.part(10_000.0, 0) - 1.7).abs() < 0.05);
    let nothing = FairUsage::new(0.0, 0).fair(0.0).fleet_part(1.7);
    assert!((nothing.part(0.0, 0) - 1.7).abs() < 1e-9);
}
