//! Fairness between workspaces under simulated load.

use super::share_simulation::{BOXES, Flood, SimulationConfig, SimulationOutcome, simulate};
use std::num::NonZeroUsize;
use std::ops::Range;
use std::sync::LazyLock;
use std::sync::atomic::{AtomicUsize, Ordering};

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

/// Boxes of the first workspace are short of processor time.
fn one_shed_flood(count: usize) -> Vec<Flood> {
    let mut floods = vec![Flood::new(2.0, 4_500); count];
    floods[0] = Flood::new(2.0, 4_500).shed(0.7);
    floods
}

/// Callers of the first workspace move between boxes that are short of processor time.
fn moving_flood() -> Vec<Flood> {
    let moving = Flood::new(2.0, 4_500).shed(0.7).boxes(2);
    vec![
        moving.moving_every(3_000),
        Flood::new(1.0, 4_500).boxes(BOXES),
        Flood::new(1.0, 4_500).boxes(BOXES).since(4.0),
        Flood::new(1.0, 4_500).boxes(BOXES).since(8.0),
    ]
}

/// Engines reject a part of what they admitted for the first workspace.
fn one_lost_flood() -> Vec<Flood> {
    let mut floods = vec![Flood::new(2.0, 4_500); 4];
    floods[0] = Flood::new(2.0, 4_500).lost(0.35);
    floods
}

fn shed_and_lost_floods() -> Vec<Flood> {
    vec![
        Flood::new(2.0, 2_000).shed(0.5).lost(0.35),
        Flood::new(2.0, 9_000),
        Flood::new(2.0, 4_500),
        Flood::new(2.0, 4_500),
    ]
}

fn shed_and_lost_before_floods() -> Vec<Flood> {
    let others = [4.0, 8.0, 12.0].map(|start| Flood::new(2.0, 4_500).since(start));
    let mut floods = vec![Flood::new(2.0, 4_500).shed(0.5).lost(0.35)];
    floods.extend(others);
    floods
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

fn troubled_cases() -> Vec<FloodCase> {
    let ratios = [0.3, CAPACITY_RATIO, 1.0, 1.5, 2.5];
    let cases = ratios.into_iter().flat_map(|capacity_ratio| {
        let case = |name, floods| FloodCase {
            name,
            floods,
            capacity_ratio,
        };
        [
            case("one of two sheds", one_shed_flood(2)),
            case("one of four sheds", one_shed_flood(4)),
            case("one moves and sheds", moving_flood()),
            case("one loses", one_lost_flood()),
            case("one sheds and loses", shed_and_lost_floods()),
            case("one sheds and loses first", shed_and_lost_before_floods()),
        ]
    });
    cases.collect()
}

/// Outcome of one simulation and its name.
struct SimulatedCase {
    name: String,
    outcome: SimulationOutcome,
}

/// Every case with several seeds and message latencies.
static SIMULATED: LazyLock<Vec<SimulatedCase>> = LazyLock::new(|| simulate_cases(&flood_cases()));

/// Every troubled case with several seeds and message latencies.
static TROUBLED: LazyLock<Vec<SimulatedCase>> = LazyLock::new(|| simulate_cases(&troubled_cases()));

fn simulate_cases(cases: &[FloodCase]) -> Vec<SimulatedCase> {
    let configs: Vec<(u64, u64)> = SEEDS
        .flat_map(|seed| LATENCIES_MS.map(|latency_ms| (seed, latency_ms)))
        .collect();
    let simulate_case = |case: &FloodCase| -> Vec<SimulatedCase> {
        let configs = configs.iter();
        let simulated = configs.map(|(seed, latency_ms)| SimulatedCase {
            name: format!(
                "{}, capacity ratio {}, seed {seed}, {latency_ms} ms latency",
                case.name, case.capacity_ratio
            ),
            outcome: simulate(
                &case.floods,
                SimulationConfig {
                    seed: *seed,
                    latency_ms: *latency_ms,
                    capacity_ratio: case.capacity_ratio,
                },
            ),
        });
        simulated.collect()
    };
    let next = AtomicUsize::new(0);
    let simulate_remaining = || {
        let cases = std::iter::from_fn(|| cases.get(next.fetch_add(1, Ordering::Relaxed)));
        cases
            .flat_map(simulate_case)
            .collect::<Vec<SimulatedCase>>()
    };
    let threads = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads)
            .map(|_| scope.spawn(simulate_remaining))
            .collect();
        let workers = workers.into_iter();
        workers.flat_map(|worker| worker.join().unwrap()).collect()
    })
}

/// Returns the names and values of the simulations in which `value` is below `min`.
fn cases_below(
    simulated: &[SimulatedCase],
    min: f64,
    value: impl Fn(&SimulationOutcome) -> f64,
) -> Vec<String> {
    let simulated = simulated.iter();
    let simulated = simulated.map(|case| (&case.name, value(&case.outcome)));
    let below = simulated.filter(|(_, value)| *value < min);
    below
        .map(|(name, value)| format!("{name}: {value:.2}"))
        .collect()
}

#[test]
fn waiting_workspaces_get_half_of_the_best_service_within_six_seconds() {
    let unfair = cases_below(&SIMULATED, 0.5, |outcome| outcome.min_fair_ratio(6));
    assert_eq!(unfair, Vec::<String>::new());
}

#[test]
fn no_workspace_is_starved_for_two_seconds() {
    let starved = cases_below(&SIMULATED, 0.25, |outcome| outcome.min_fair_ratio(2));
    assert_eq!(starved, Vec::<String>::new());
}

#[test]
fn engines_are_utilized_while_requests_are_refused() {
    let idle = cases_below(&SIMULATED, 0.9, |outcome| outcome.utilization(4..24));
    assert_eq!(idle, Vec::<String>::new());
}

#[test]
fn workspace_whose_requests_are_shed_or_lost_gets_half_of_the_best_service() {
    let unfair = cases_below(&TROUBLED, 0.5, |outcome| outcome.min_fair_ratio(6));
    assert_eq!(unfair, Vec::<String>::new());
}

#[test]
fn engines_are_utilized_while_requests_are_shed_or_lost() {
    let idle = cases_below(&TROUBLED, 0.9, |outcome| outcome.utilization(4..24));
    assert_eq!(idle, Vec::<String>::new());
}
