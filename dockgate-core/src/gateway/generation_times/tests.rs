use super::*;
use yare::parameterized;

fn measured(first_ms: impl Fn(u64) -> u64, event_ms: u64, now_ms: u64) -> GenerationTimes {
    let mut times = GenerationTimes::default();
    for number in 0..100 {
        times.record_first("model", first_ms(number), now_ms);
        times.record_events("model", event_ms * 50, 50, now_ms);
    }
    times
}

#[parameterized(
    one = { 1, 0 },
    two = { 2, 2 },
    three = { 3, 3 },
    five = { 5, 4 },
    six = { 6, 5 },
    seven = { 7, 5 },
    huge = { u64::MAX, BUCKETS - 1 },
)]
fn values_are_below_the_bound_of_their_bucket(value: u64, bucket: usize) {
    assert_eq!(SizeCounts::bucket_of(value), bucket);
    let is_below = value < SizeCounts::upper_bound(bucket);
    assert!(is_below || bucket == BUCKETS - 1);
}

#[test]
fn prediction_covers_nearly_all_streams() {
    // One stream in ten takes four times as long.
    let times = measured(|number| 200 + u64::from(number % 10 == 0) * 600, 40, 1_000);
    let predicted_ms = times.predict_ms("model", 100, 1_000).unwrap();
    assert!(
        (800 + 4_000..1_200 + 6_000).contains(&predicted_ms),
        "{predicted_ms}"
    );
}

#[test]
fn prediction_needs_recent_streams() {
    let times = measured(|_| 200, 40, 1_000);
    assert!(times.predict_ms("model", 10, 7_999).is_some());
    assert_eq!(times.predict_ms("model", 10, 8_000), None);
    assert_eq!(times.predict_ms("other", 10, 1_000), None);
}

#[test]
fn prediction_follows_engines_that_become_slower() {
    let mut times = measured(|_| 200, 10, 1_000);
    let before_ms = times.predict_ms("model", 100, 1_000).unwrap();
    for _ in 0..20 {
        times.record_first("model", 2_000, 4_500);
        times.record_events("model", 5_000, 50, 4_500);
    }
    let after_ms = times.predict_ms("model", 100, 4_500).unwrap();
    assert!(
        before_ms < 2_000 && after_ms > 10_000,
        "{before_ms} {after_ms}"
    );
}

#[test]
fn streams_of_one_event_do_not_count_per_event() {
    let mut times = GenerationTimes::default();
    (0..40).for_each(|_| times.record_events("model", 500, 0, 1_000));
    (0..40).for_each(|_| times.record_first("model", 500, 1_000));
    assert_eq!(times.predict_ms("model", 10, 1_000), None);
}
