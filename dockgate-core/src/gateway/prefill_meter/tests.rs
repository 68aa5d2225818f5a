use super::*;
use yare::parameterized;

const FIXED: FixedTime = FixedTime {
    ms: 30.0,
    deviation_ms: 5.0,
};

/// Feeds a busy engine that takes `slowdown` times the nominal time at each time; returns the rate.
fn rate_after(seconds: u64, slowdown: impl Fn(u64) -> f64) -> Option<f64> {
    let mut meter = PrefillMeter::default();
    let mut now = 0.0;
    while now < seconds as f64 * 1e3 {
        let work = PrefillWork::new(0, 500 + now as u32 % 4_000);
        let busy_ms = PrefillMeter::nominal_ms(work) * slowdown(now as u64);
        now += busy_ms;
        let sample = MeterSample {
            work,
            busy_ms,
            was_idle: false,
        };
        meter.record(sample, now as u64);
    }
    meter.rate(FIXED)
}

/// One of seven phases of 600 ms is 2.5 times slower.
fn with_slow_phases(now_ms: u64) -> f64 {
    if now_ms / 600 % 7 == 3 { 2.5 } else { 1.0 }
}

/// Guards against rates that follow slow phases or a suspension of this box, or miss that an engine
/// has become slower.
#[parameterized(
    phases = { 9, 1.0, with_slow_phases },
    phases_at_first = { 5, 1.0, with_slow_phases },
    slower = { 11, 1.0 / 3.5, |now_ms| if now_ms < 6_000 { 1.0 } else { 3.5 } },
    stalled = { 9, 1.0, |now_ms| if now_ms < 6_000 { 1.0 } else { 1_000.0 } },
    recovered = { 13, 1.0, |now_ms| if now_ms < 10_000 { 3.5 } else { 1.0 } },
)]
fn rate_follows_lasting_changes_alone(seconds: u64, expected: f64, slowdown: fn(u64) -> f64) {
    let nominal = rate_after(9, |_| 1.0).unwrap();
    let ratio = rate_after(seconds, slowdown).unwrap() / nominal;
    assert!((ratio / expected - 1.0).abs() < 0.1, "{ratio}");
}

/// Guards against rates of idle engines that depend on an unknown fixed time.
#[test]
fn rate_is_unknown_while_the_fixed_time_is_uncertain() {
    let mut meter = PrefillMeter::default();
    for number in 0..30 {
        let sample = MeterSample {
            work: PrefillWork::new(0, 2_000),
            busy_ms: 100.0,
            was_idle: true,
        };
        meter.record(sample, number * 200);
    }
    let uncertain = FixedTime {
        deviation_ms: 40.0,
        ..FIXED
    };
    assert!(meter.rate(uncertain).is_none() && meter.rate(FIXED).is_some());
}

#[test]
fn rate_is_unknown_until_enough_first_events_were_observed() {
    assert_eq!(rate_after(1, |_| 10.0), None);
}
