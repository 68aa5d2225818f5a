use super::*;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use xxhash_rust::xxh3::xxh3_64_with_seed;

const SLOTS: u32 = 6;
const ENDPOINTS: u64 = 3;
/// The time that one request takes in a slot, in milliseconds.
const WORK_MS: u64 = 60;

fn run(entry: u32, number: u32) -> RunKey {
    RunKey {
        entry: BoxKey(entry),
        number,
    }
}

#[test]
fn requests_of_restarted_boxes_and_expired_ones_are_removed() {
    let mut loads = PlainLoads::default();
    let endpoint = EndpointId(1);
    for (number, until_ms) in [(0, 100), (1, 900), (2, 900)] {
        loads.place(endpoint, run(number, number), until_ms);
    }
    loads.retain(500, |_| true, |key| key.entry == BoxKey(2));
    assert_eq!(loads.count(endpoint), 1);
    loads.forget_entry(BoxKey(1));
    assert_eq!(loads.count(endpoint), 0);
}

#[test]
fn endpoints_that_are_gone_are_removed() {
    let mut loads = PlainLoads::default();
    loads.place(EndpointId(1), run(0, 0), 900);
    loads.retain(500, |_| false, |_| false);
    assert_eq!(loads.count(EndpointId(1)), 0);
}

/// How the boxes choose an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Choice {
    /// The nearest one with the fewest own requests.
    Alone,
    /// The nearest one whose owner grants the request.
    Owners,
}

/// The outcome of a simulated load.
#[derive(Debug, Default)]
struct LoadOutcome {
    in_time: usize,
    asked: usize,
}

/// Plays a load in which most callers are near one endpoint; requests that arrive at a full queue
/// are lost.
fn play(choice: Choice, boxes: u32, per_s: f64, seed: u64) -> LoadOutcome {
    const OBJECTIVE_MS: u64 = 300;
    const MAX_QUEUE: usize = 24;
    let mut drawn = 0_u64;
    let mut draw = || {
        drawn += 1;
        xxh3_64_with_seed(&drawn.to_le_bytes(), seed) as f64 / u64::MAX as f64
    };
    let mut loads = PlainLoads::default();
    let mut free_at = vec![vec![0_u64; SLOTS as usize]; ENDPOINTS as usize];
    let mut ends: BinaryHeap<Reverse<(u64, u64, u32)>> = BinaryHeap::new();
    let mut outcome = LoadOutcome::default();
    for now_ms in 0..20_000 {
        while let Some(Reverse((at_ms, endpoint, number))) = ends.peek().copied() {
            if at_ms > now_ms {
                break;
            }
            ends.pop();
            loads.end(EndpointId(endpoint), run(number % boxes, number));
        }
        if draw() >= per_s / 1_000.0 {
            continue;
        }
        outcome.asked += 1;
        let number = outcome.asked as u32;
        let near = match draw() {
            place if place < 0.6 => 0,
            place if place < 0.8 => 1,
            _ => 2,
        };
        let order = (0..ENDPOINTS).map(|step| (near + step) % ENDPOINTS);
        let key = run(number % boxes, number);
        let until_ms = now_ms + 4_000;
        let chosen = match choice {
            Choice::Alone => Some(near),
            Choice::Owners => order
                .into_iter()
                .find(|endpoint| loads.try_place(EndpointId(*endpoint), key, SLOTS, until_ms)),
        };
        let Some(endpoint) = chosen else { continue };
        let slots = &mut free_at[endpoint as usize];
        let waiting = ends.iter().filter(|end| end.0.1 == endpoint).count();
        if waiting >= SLOTS as usize + MAX_QUEUE {
            continue;
        }
        let slot = slots.iter_mut().min().unwrap();
        *slot = (*slot).max(now_ms) + WORK_MS;
        outcome.in_time += usize::from(*slot - now_ms <= OBJECTIVE_MS);
        ends.push(Reverse((*slot, endpoint, number)));
    }
    outcome
}

/// Callers near one endpoint ask for more than it can serve, and less than all can.
#[test]
fn load_near_one_endpoint_is_served_by_all() {
    for boxes in [6, 91, 300] {
        let shared = play(Choice::Owners, boxes, 240.0, 1);
        assert!(shared.in_time * 100 >= shared.asked * 99, "{shared:?}");
        let alone = play(Choice::Alone, boxes, 240.0, 1);
        assert!(alone.in_time * 100 < alone.asked * 90, "{alone:?}");
    }
}

/// Of a load beyond all endpoints, as much is served in time as they have room for.
#[test]
fn overload_leaves_the_endpoints_busy_and_in_time() {
    let capacity_per_s = ENDPOINTS as f64 * f64::from(SLOTS) * 1_000.0 / WORK_MS as f64;
    let served = play(Choice::Owners, 91, capacity_per_s * 2.0, 2);
    assert!(
        served.in_time as f64 >= capacity_per_s * 20.0 * 0.95,
        "{served:?}"
    );
}
