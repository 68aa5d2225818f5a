use super::*;

const TIMES: FadeTimes = FadeTimes {
    short_ms: 800.0,
    long_ms: 2_000.0,
};

#[test]
fn what_comes_evenly_adds_up_to_its_rate_over_the_fading_time() {
    let mut sums = FadingSums::default();
    for now_ms in (0..10_000).step_by(10) {
        sums.count(1).ask(10.0);
        if now_ms % 300 == 0 {
            sums.fade(TIMES, now_ms);
        }
    }
    let sum = sums.faded(TIMES, 10_000)[&1];
    assert!((sum.asked - 800.0).abs() < 20.0, "{sum:?}");
    assert!((sum.asked_long - 2_000.0).abs() < 50.0, "{sum:?}");
}

#[test]
fn what_has_faded_is_dropped() {
    let mut sums = FadingSums::default();
    sums.count(1).ask(1_000.0);
    sums.fade(TIMES, 0);
    assert_eq!(sums.faded(TIMES, 0).len(), 1);
    sums.fade(TIMES, 60_000);
    assert!(sums.faded(TIMES, 60_000).is_empty());
}

#[test]
fn a_row_says_what_a_sum_does() {
    let sum = ShareSum {
        asked: 10.4,
        asked_long: 20.6,
        given: 5.0,
    };
    let rows = share_rows(&ShareSums::from([(7, sum)]));
    assert_eq!(
        (rows[0].asked, rows[0].asked_long, rows[0].given),
        (10, 21, 5)
    );
}
