//! Workspaces that wait beside each other, as their callers see it.

use super::share_simulation::{BOXES, Flood, PlayOutcome, PlayRule, play};
use std::ops::Range;
use std::sync::LazyLock;

const SEEDS: Range<u64> = 1..3;
/// How long a message between boxes takes, in milliseconds.
const HOPS_MS: [u64; 3] = [0, 100, 250];
/// What the configuration states, in parts of what the engines read.
const STATED: f64 = 0.56;

fn equal_floods() -> Vec<Flood> {
    vec![Flood::new(2.0, 4_500), Flood::new(2.0, 4_500).since(8.0)]
}

fn large_then_small_floods() -> Vec<Flood> {
    vec![Flood::new(2.0, 9_000), Flood::new(2.0, 500).since(5.0)]
}

fn small_then_large_floods() -> Vec<Flood> {
    vec![Flood::new(2.0, 500), Flood::new(2.0, 9_000).since(5.0)]
}

fn successive_floods(count: usize) -> Vec<Flood> {
    let starts = (0..count).map(|index| index as f64 * 4.0);
    starts
        .map(|start| Flood::new(1.5, 4_500).since(start))
        .collect()
}

fn eight_floods() -> Vec<Flood> {
    let tokens = [500, 9_000, 2_000, 4_500];
    (0..8)
        .map(|index| Flood::new(0.8, tokens[index % 4]))
        .collect()
}

fn uneven_floods() -> Vec<Flood> {
    vec![Flood::new(5.0, 4_500), Flood::new(1.0, 4_500)]
}

fn alternating_floods() -> Vec<Flood> {
    let odd = (0..3).map(|turn| f64::from(turn) * 8.0..f64::from(turn) * 8.0 + 4.0);
    let even = (0..3).map(|turn| f64::from(turn) * 8.0 + 4.0..f64::from(turn) * 8.0 + 8.0);
    vec![
        Flood::new(1.5, 4_500),
        Flood::new(3.0, 4_500).spans(odd),
        Flood::new(3.0, 4_500).spans(even),
    ]
}

fn one_box_beside_few_floods() -> Vec<Flood> {
    vec![
        Flood::new(2.0, 4_500).boxes(1),
        Flood::new(2.0, 4_500).since(6.0),
    ]
}

fn few_boxes_beside_all_floods() -> Vec<Flood> {
    vec![
        Flood::new(2.0, 4_500).boxes(1),
        Flood::new(1.0, 4_500),
        Flood::new(2.0, 4_500).boxes(BOXES).since(6.0),
    ]
}

fn all_boxes_floods() -> Vec<Flood> {
    let starts = [0.0, 0.0, 5.0, 9.0];
    starts
        .map(|start| Flood::new(1.0, 4_500).boxes(BOXES).since(start))
        .to_vec()
}

/// What some workspaces ask for, and what the configuration states.
struct FloodCase {
    name: &'static str,
    floods: Vec<Flood>,
    stated: f64,
}

fn flood_cases() -> Vec<FloodCase> {
    let case = |name, floods, stated| FloodCase {
        name,
        floods,
        stated,
    };
    vec![
        case("two equal", equal_floods(), STATED),
        case("large, then small", large_then_small_floods(), STATED),
        case("small, then large", small_then_large_floods(), STATED),
        case("four in succession", successive_floods(4), STATED),
        case("six in succession", successive_floods(6), STATED),
        case("eight at once", eight_floods(), STATED),
        case("one asks for more", uneven_floods(), STATED),
        case("two in turn", alternating_floods(), STATED),
        case("one box beside few", one_box_beside_few_floods(), STATED),
        case(
            "few boxes beside all",
            few_boxes_beside_all_floods(),
            STATED,
        ),
        case("all boxes", all_boxes_floods(), STATED),
        case("fast engines", successive_floods(4), 0.25),
        case("slow engines", successive_floods(4), 1.5),
        case("slow engines, uneven", uneven_floods(), 1.5),
    ]
}

/// One play, as its outcome and what to call it by.
struct PlayedCase {
    name: String,
    outcome: PlayOutcome,
}

/// Every case, with several seeds and with sums of others that are younger and older.
static PLAYED: LazyLock<Vec<PlayedCase>> = LazyLock::new(|| {
    let cases = flood_cases();
    let played = cases.iter().flat_map(|case| {
        let rules = SEEDS.flat_map(|seed| HOPS_MS.map(|hop_ms| (seed, hop_ms)));
        rules.map(|(seed, hop_ms)| PlayedCase {
            name: format!("{}, seed {seed}, {hop_ms} ms a message", case.name),
            outcome: play(
                &case.floods,
                PlayRule {
                    seed,
                    hop_ms,
                    stated: case.stated,
                },
            ),
        })
    });
    played.collect()
});

/// Lists the plays of which `value` is below `least`.
fn plays_below(least: f64, value: impl Fn(&PlayOutcome) -> f64) -> Vec<String> {
    let played = PLAYED.iter();
    let played = played.map(|case| (&case.name, value(&case.outcome)));
    let below = played.filter(|(_, value)| *value < least);
    below
        .map(|(name, value)| format!("{name}: {value:.2}"))
        .collect()
}

#[test]
fn who_waits_six_seconds_gets_half_of_what_the_best_served_gets() {
    let unfair = plays_below(0.5, |outcome| outcome.least_part(6));
    assert_eq!(unfair, Vec::<String>::new());
}

#[test]
fn nobody_is_shut_out_for_two_seconds_while_others_are_served() {
    let shut_out = plays_below(0.25, |outcome| outcome.least_part(2));
    assert_eq!(shut_out, Vec::<String>::new());
}

#[test]
fn engines_are_not_idle_while_workspaces_wait() {
    let idle = plays_below(0.9, |outcome| outcome.used_part(4..24));
    assert_eq!(idle, Vec::<String>::new());
}
