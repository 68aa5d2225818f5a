use super::*;

const TIMES: DecayTimes = DecayTimes {
    short_ms: 800.0,
    long_ms: 2_000.0,
};

#[test]
fn steady_usage_converges_to_rate_times_time_constant() {
    let mut usage = DecayingUsage::default();
    for now_ms in (0..10_000).step_by(10) {
        usage.recent_mut(1).add_request(10.0);
        if now_ms % 300 == 0 {
            usage.decay(TIMES, now_ms);
        }
    }
    let row = usage.decayed(TIMES, 10_000)[&1];
    assert!((row.requested - 800.0).abs() < 20.0, "{row:?}");
    assert!((row.requested_long - 2_000.0).abs() < 50.0, "{row:?}");
}

#[test]
fn decayed_entries_are_dropped() {
    let mut usage = DecayingUsage::default();
    usage.recent_mut(1).add_request(1_000.0);
    usage.decay(TIMES, 0);
    assert_eq!(usage.decayed(TIMES, 0).len(), 1);
    usage.decay(TIMES, 60_000);
    assert!(usage.decayed(TIMES, 60_000).is_empty());
}

#[test]
fn rows_hold_rounded_usage() {
    let usage = WorkspaceUsage {
        requested: 10.4,
        requested_long: 20.6,
        admitted: 5.0,
    };
    let rows = usage_rows(&UsageTable::from([(7, usage)]));
    assert_eq!(
        (rows[0].requested, rows[0].requested_long, rows[0].admitted),
        (10, 21, 5)
    );
}
