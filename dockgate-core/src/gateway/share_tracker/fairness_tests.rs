//! Fairness between workspaces under simulated load.

use super::share_simulation::{BOXES, Flood, SimulationConfig, SimulationOutcome, simulate};
use std::ops::Range;
use std::sync::LazyLock;

const SEEDS: Range<u64> = 1..3;
/// Latency of messages between boxes, in milliseconds.
const LATENCIES_MS: [u64; 3] = [0, 100, 250];
/// Configured capacity over the throughput of all engines.
const CAPACITY_RATIO: f64 = 0.56;

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

/// Load of several workspaces, and the configured capacity.
struct FloodCase {
    name: &'static str,
    floods: Vec<Flood>,
    capacity_ratio: f64,
}

fn flood_cases() -> Vec<FloodCase> {
    let case = |name, floods, capacity_ratio| FloodCase {
        name,
        floods,
        capacity_ratio,
    };
    vec![
        case("two equal", equal_floods(), CAPACITY_RATIO),
        case(
            "large, then small",
            large_then_small_floods(),
            CAPACITY_RATIO,
        ),
        case(
            "small, then large",
            small_then_large_floods(),
            CAPACITY_RATIO,
        ),
        case("four in succession", successive_floods(4), CAPACITY_RATIO),
        case("six in succession", successive_floods(6), CAPACITY_RATIO),
        case("eight at once", eight_floods(), CAPACITY_RATIO),
        case("one with more demand", uneven_floods(), CAPACITY_RATIO),
        case("two alternating", alternating_floods(), CAPACITY_RATIO),
        case(
            "one box beside few",
            one_box_beside_few_floods(),
            CAPACITY_RATIO,
        ),
        case(
            "few boxes beside all",
            few_boxes_beside_all_floods(),
            CAPACITY_RATIO,
        ),
        case("all boxes", all_boxes_floods(), CAPACITY_RATIO),
        case("fast engines", successive_floods(4), 0.25),
        case("slow engines", successive_floods(4), 1.5),
        case("slow engines, uneven", uneven_floods(), 1.5),
    ]
}

/// Outcome of one simulation and its name.
struct SimulatedCase {
    name: String,
    outcome: SimulationOutcome,
}

/// Every case with several seeds and message latencies.
static SIMULATED: LazyLock<Vec<SimulatedCase>> = LazyLock::new(|| {
    let cases = flood_cases();
    let simulated = cases.iter().flat_map(|case| {
        let configs = SEEDS.flat_map(|seed| LATENCIES_MS.map(|latency_ms| (seed, latency_ms)));
        configs.map(|(seed, latency_ms)| SimulatedCase {
            name: format!("{}, seed {seed}, {latency_ms} ms latency", case.name),
            outcome: simulate(
                &case.floods,
                SimulationConfig {
                    seed,
                    latency_ms,
                    capacity_ratio: case.capacity_ratio,
                },
            ),
        })
    });
    simulated.collect()
});

/// Returns the names and values of the simulations in which `value` is below `min`.
fn cases_below(min: f64, value: impl Fn(&SimulationOutcome) -> f64) -> Vec<String> {
    let simulated = SIMULATED.iter();
    let simulated = simulated.map(|case| (&case.name, value(&case.outcome)));
    let below = simulated.filter(|(_, value)| *value < min);
    below
        .map(|(name, value)| format!("{name}: {value:.2}"))
        .collect()
}

#[test]
fn waiting_workspaces_get_half_of_the_best_service_within_six_seconds() {
    let unfair = cases_below(0.5, |outcome| outcome.min_fair_ratio(6));
    assert_eq!(unfair, Vec::<String>::new());
}

#[test]
fn no_workspace_is_starved_for_two_seconds() {
    let starved = cases_below(0.25, |outcome| outcome.min_fair_ratio(2));
    assert_eq!(starved, Vec::<String>::new());
}

#[test]
fn engines_are_utilized_while_requests_are_refused() {
    let idle = cases_below(0.9, |outcome| outcome.utilization(4..24));
    assert_eq!(idle, Vec::<String>::new());
}
