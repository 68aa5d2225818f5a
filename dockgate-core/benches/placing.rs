//! Cost of placing a prompt, also with weights of engines, receiving a heartbeat and building a
//! digest, by the number of boxes in the fleet and of engines of a service.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dockgate_core::gateway::{
    BoxHeartbeat, BoxStatus, DigestScope, EndpointId, FleetView, HomeWeights, best_homes,
    weighted_homes,
};
use dockgate_core::{BoxKey, Incarnation};
use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

const DOMAINS: usize = 5;
const HOMES: usize = 2;
const BOXES: [usize; 3] = [6, 60, 300];
const ENGINES: [u64; 3] = [9, 160, 12_000];
const NOW_MS: u64 = 1_000;

fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

fn heartbeat(index: usize, sequence: u32) -> BoxHeartbeat {
    let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_400));
    let processor = if index < 3 * DOMAINS { 500 } else { 120 };
    BoxHeartbeat::new(&format!("box-{index}"), &domain(index), address)
        .status(BoxStatus::new(processor))
        .sequence(sequence)
}

fn fleet(boxes: usize) -> FleetView {
    let mut view = FleetView::new(heartbeat(0, 1));
    for index in 1..boxes {
        view.receive_heartbeat(heartbeat(index, 1), Incarnation(1), NOW_MS);
    }
    view
}

fn place_prompt(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place_prompt");
    for boxes in BOXES {
        let view = fleet(boxes);
        for engines in ENGINES {
            let id = BenchmarkId::from_parameter(format!("{boxes}-boxes-{engines}-engines"));
            let mut key = 0;
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    key += 1;
                    let all = (0..engines).map(EndpointId);
                    let homes = best_homes(key, all, HOMES, |_| true);
                    let owners = homes.into_iter().map(|home| {
                        let name = ["domain-0", "domain-1"][home.0 as usize % 2];
                        view.owner(home, name, NOW_MS)
                    });
                    black_box(owners.collect::<Vec<BoxKey>>())
                });
            });
        }
    }
    group.finish();
}

fn select_homes(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("select_homes");
    for engines in [60, 1_000_u64] {
        let weight = |id: u64| [0.6, 1.0, 1.6][id as usize % 3];
        let weights = (0..engines).map(|id| (EndpointId(id), weight(id)));
        let weights: HomeWeights = weights.collect();
        let mut key = 0;
        group.bench_function(format!("{engines}-engines"), |bencher| {
            bencher.iter(|| {
                key += 1;
                black_box(best_homes(key, (0..engines).map(EndpointId), HOMES, |_| {
                    true
                }))
            });
        });
        for (name, weights) in [("equal", HomeWeights::default()), ("three-speeds", weights)] {
            group.bench_function(format!("{engines}-engines-{name}"), |bencher| {
                bencher.iter(|| {
                    key += 1;
                    let all = (0..engines).map(EndpointId);
                    black_box(weighted_homes(key, all, &weights, HOMES, |_| true))
                });
            });
        }
    }
    group.finish();
}

fn receive_heartbeat(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("take_beat");
    for boxes in BOXES {
        let mut view = fleet(boxes);
        let mut sequence = 1;
        group.bench_function(BenchmarkId::from_parameter(boxes), |bencher| {
            bencher.iter(|| {
                sequence += 1;
                view.receive_heartbeat(black_box(heartbeat(1, sequence)), Incarnation(1), NOW_MS)
            });
        });
    }
    group.finish();
}

fn build_digest(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("make_digest");
    for boxes in BOXES {
        let view = fleet(boxes);
        group.bench_function(BenchmarkId::from_parameter(boxes), |bencher| {
            bencher.iter(|| black_box(view.digest(DigestScope::SameDomain, NOW_MS)));
        });
    }
    group.finish();
}

criterion_group! {
    name = placing;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(300))
        .measurement_time(Duration::from_secs(1));
    targets = place_prompt, select_homes, receive_heartbeat, build_digest
}
criterion_main!(placing);
