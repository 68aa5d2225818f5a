use super::*;
use proptest::prelude::*;
use yare::parameterized;

/// An engine made up: what every first event takes, and for a thousand tokens and a million pairs.
#[derive(Debug, Clone, Copy)]
struct MadeUpEngine(Row);

impl MadeUpEngine {
    fn took_ms(self, work: PrefillWork, was_idle: bool) -> f64 {
        let fixed = if was_idle { 1.0 } else { 0.0 };
        dot(&self.0, &[fixed, work.kilotokens, work.megapairs])
    }

    /// Shows the model first events of short and long prompts, idle and behind others.
    fn teach(self, model: &mut PrefillModel, events: u32) {
        for number in 0..events {
            let unread = 100 + (number * 7_919) % 12_000;
            let work = PrefillWork::new((number * 104_729) % 8_000, unread);
            let was_idle = number % 3 == 0;
            // Some scatter that has no mean.
            let scatter = f64::from(number % 11) - 5.0;
            let took_ms = self.took_ms(work, was_idle) + scatter;
            model.learn(PrefillSample {
                work,
                took_ms,
                was_idle,
            });
        }
    }
}

#[parameterized(
    like_the_start = { [30.0, 25.0, 0.4] },
    twice_as_fast = { [20.0, 12.0, 0.3] },
    eight_times_as_fast = { [10.0, 3.0, 0.05] },
    half_as_fast = { [60.0, 50.0, 0.8] },
    mostly_fixed = { [250.0, 5.0, 0.1] },
    mostly_pairs = { [15.0, 8.0, 1.5] },
)]
fn an_engine_of_any_speed_is_learned(engine: Row) {
    let engine = MadeUpEngine(engine);
    let mut model = PrefillModel::default();
    engine.teach(&mut model, 300);
    for (kept, unread) in [(0, 400), (5_000, 3_000), (2_000, 10_000)] {
        let work = PrefillWork::new(kept, unread);
        let (expected, seen) = (model.first_event_ms(work), engine.took_ms(work, true));
        assert!(
            (expected - seen).abs() < 0.05 * seen + 5.0,
            "{unread} tokens: {expected} instead of {seen} ms"
        );
    }
}

#[test]
fn an_engine_that_turns_slow_is_followed_and_so_is_its_recovery() {
    let (fast, slow) = (
        MadeUpEngine([30.0, 10.0, 0.2]),
        MadeUpEngine([120.0, 40.0, 0.8]),
    );
    let mut model = PrefillModel::default();
    let work = PrefillWork::new(1_000, 5_000);
    for engine in [fast, slow, fast] {
        engine.teach(&mut model, 400);
        let (expected, seen) = (model.first_event_ms(work), engine.took_ms(work, true));
        assert!(
            (expected - seen).abs() < 0.1 * seen,
            "{expected} instead of {seen}"
        );
    }
}

#[test]
fn one_first_event_that_was_held_up_changes_little() {
    let engine = MadeUpEngine([30.0, 10.0, 0.2]);
    let mut model = PrefillModel::default();
    engine.teach(&mut model, 300);
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
fn a_speed_that_is_told_makes_the_same_model() {
    let mut model = PrefillModel::default();
    MadeUpEngine([47.0, 9.0, 0.15]).teach(&mut model, 100);
    let told = PrefillModel::from(model.speed());
    let work = PrefillWork::new(500, 7_000);
    assert!((told.first_event_ms(work) - model.first_event_ms(work)).abs() < 0.1);
}

proptest! {
    /// Whatever is seen, what is learned stays a time, within its bounds.
    #[test]
    fn what_is_learned_stays_within_its_bounds(
        samples in prop::collection::vec(
            (0_u32..60_000, 0_u32..60_000, 0.0_f64..20_000.0, any::<bool>()),
            1..200,
        ),
    ) {
        let mut model = PrefillModel::default();
        for (kept, unread, took_ms, was_idle) in samples {
            let work = PrefillWork::new(kept, unread);
            model.learn(PrefillSample { work, took_ms, was_idle });
            for index in 0..UNKNOWNS {
                let time = model.times[index];
                prop_assert!((PrefillModel::LEAST[index]..=PrefillModel::MOST[index]).contains(&time));
                let spread = model.covariance[index][index];
                prop_assert!(spread.is_finite() && spread >= -1e-6, "{spread}");
            }
        }
    }
}
