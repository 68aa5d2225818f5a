use super::*;
use proptest::prelude::*;
use yare::parameterized;

/// A simulated engine with the given fixed time, time per thousand tokens and per million pairs.
#[derive(Debug, Clone, Copy)]
struct SimulatedEngine(Row);

impl SimulatedEngine {
    fn took_ms(self, work: PrefillWork, was_idle: bool) -> f64 {
        let fixed = if was_idle { 1.0 } else { 0.0 };
        dot(&self.0, &[fixed, work.kilotokens, work.megapairs])
    }

    /// Trains the model on short and long prompts, at an idle and at a busy engine.
    fn train(self, model: &mut PrefillModel, events: u32) {
        for number in 0..events {
            let uncached = 100 + (number * 7_919) % 12_000;
            let work = PrefillWork::new((number * 104_729) % 8_000, uncached);
            let was_idle = number % 3 == 0;
            // Noise with a mean of about zero.
            let noise = f64::from(number % 11) - 5.0;
            let took_ms = self.took_ms(work, was_idle) + noise;
            model.learn(PrefillSample {
                work,
                took_ms,
                was_idle,
            });
        }
    }
}

#[parameterized(
    initial_speed = { [30.0, 25.0, 0.4] },
    twice_as_fast = { [20.0, 12.0, 0.3] },
    eight_times_as_fast = { [10.0, 3.0, 0.05] },
    half_as_fast = { [60.0, 50.0, 0.8] },
    mostly_fixed_time = { [250.0, 5.0, 0.1] },
    mostly_attention = { [15.0, 8.0, 1.5] },
)]
fn engines_of_any_speed_are_learned(engine: Row) {
    let engine = SimulatedEngine(engine);
    let mut model = PrefillModel::default();
    engine.train(&mut model, 300);
    for (cached, uncached) in [(0, 400), (5_000, 3_000), (2_000, 10_000)] {
        let work = PrefillWork::new(cached, uncached);
        let (expected, actual) = (model.first_event_ms(work), engine.took_ms(work, true));
        assert!(
            (expected - actual).abs() < 0.05 * actual + 5.0,
            "{uncached} tokens: {expected} instead of {actual} ms"
        );
    }
}

#[test]
fn model_follows_a_slowdown_and_a_recovery() {
    let (fast, slow) = (
        SimulatedEngine([30.0, 10.0, 0.2]),
        SimulatedEngine([120.0, 40.0, 0.8]),
    );
    let mut model = PrefillModel::default();
    let work = PrefillWork::new(1_000, 5_000);
    for engine in [fast, slow, fast] {
        engine.train(&mut model, 400);
        let (expected, actual) = (model.first_event_ms(work), engine.took_ms(work, true));
        assert!(
            (expected - actual).abs() < 0.1 * actual,
            "{expected} instead of {actual}"
        );
    }
}

#[test]
fn single_outlier_has_little_effect() {
    let engine = SimulatedEngine([30.0, 10.0, 0.2]);
    let mut model = PrefillModel::default();
    engine.train(&mut model, 300);
    let work = PrefillWork::new(0, 2_000);
    let before = model.first_event_ms(work);
    model.learn(PrefillSample {
        work,
        took_ms: 5_000.0,
        was_idle: true,
    });
    assert!(model.first_event_ms(work) < 1.3 * before);
}

#[test]
fn reported_speed_gives_the_same_predictions() {
    let mut model = PrefillModel::default();
    SimulatedEngine([47.0, 9.0, 0.15]).train(&mut model, 100);
    let reported = PrefillModel::from(model.speed());
    let work = PrefillWork::new(500, 7_000);
    assert!((reported.first_event_ms(work) - model.first_event_ms(work)).abs() < 0.1);
}

proptest! {
    /// Extreme samples must not push the learned times out of their bounds.
    #[test]
    fn learned_times_stay_within_their_bounds(
        samples in prop::collection::vec(
            (0_u32..60_000, 0_u32..60_000, 0.0_f64..20_000.0, any::<bool>()),
            1..200,
        ),
    ) {
        let mut model = PrefillModel::default();
        for (cached, uncached, took_ms, was_idle) in samples {
            let work = PrefillWork::new(cached, uncached);
            model.learn(PrefillSample { work, took_ms, was_idle });
            for index in 0..COEFFICIENTS {
                let coefficient = model.coefficients[index];
                prop_assert!((PrefillModel::MIN[index]..=PrefillModel::MAX[index]).contains(&coefficient));
                let variance = model.covariance[index][index];
                prop_assert!(variance.is_finite() && variance >= -1e-6, "{variance}");
            }
        }
    }
}
