use super::*;

/// Records a prompt of 100 units every 10 ms.
fn steady_usage(fair_per_ms: f64) -> FairUsage {
    let mut usage = FairUsage::new(0.0, 0)
        .with_fair_rate(fair_per_ms)
        .with_fleet_ratio(1.0);
    (0..10_000)
        .step_by(10)
        .for_each(|now_ms| usage.record(100.0, now_ms));
    usage
}

#[test]
fn ratio_compares_admitted_with_fair_rate() {
    let ratio = |fair| steady_usage(fair).fair_ratio(0.0, 10_000);
    assert!((ratio(10.0) - 1.0).abs() < 0.05);
    assert!((ratio(20.0) - 0.5).abs() < 0.05);
}

#[test]
fn ratio_decays_without_admissions() {
    assert!(steady_usage(10.0).fair_ratio(0.0, 13_000) < 0.1);
}

#[test]
fn fleet_ratio_is_used_for_rare_prompts() {
    let usage = FairUsage::new(0.0, 0)
        .with_fair_rate(0.1)
        .with_fleet_ratio(1.7);
    assert!((usage.fair_ratio(10_000.0, 0) - 1.7).abs() < 0.05);
    let zero_rate = FairUsage::new(0.0, 0)
        .with_fair_rate(0.0)
        .with_fleet_ratio(1.7);
    assert!((zero_rate.fair_ratio(0.0, 0) - 1.7).abs() < 1e-9);
}
