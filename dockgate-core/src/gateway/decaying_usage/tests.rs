use super::*;

const TIMES: DecayTimes = DecayTimes {
    short_ms: 800.0,
    long_ms: 2_000.0,
};

#[test]
fn what_comes_evenly_adds_up_to_its_rate_over_the_fading_time() {
    let mut sums = DecayingUsage::default();
    for now_ms in (0..10_000).step_by(10) {
        sums.count(1).ask(10.0);
        if now_ms % 300 == 0 {
            sums.fade(TIMES, now_ms);
        }
    }
    let sum = sums.faded(TIMES, 10_000)[&1];
    assert!((sum.requested - 800.0).abs() < 20.0, "{sum:?}");
    assert!((sum.requested_long - 2_000.0).abs() < 50.0, "{sum:?}");
}

#[test]
fn what_has_faded_is_dropped() {
    let mut sums = DecayingUsage::default();
    sums.count(1).ask(1_000.0);
    sums.fade(TIMES, 0);
    assert_eq!(sums.faded(TIMES, 0).len(), 1);
    sums.fade(TIMES, 60_000);
    assert!(sums.faded(TIMES, 60_000).is_empty());
}

#[test]
fn a_row_says_what_a_sum_does() {
    let sum = WorkspaceUsage {
        requested: 10.4,
        requested_long: 20.6,
        admitted: 5.0,
    };
    let rows = share_rows(&UsageTable::from([(7, sum)]));
    assert_eq!(
        (rows[0].requested, rows[0].requested_long, rows[0].admitted),
        (10, 21, 5)
    );
}
