//! What a prompt's placing and a beat cost by the boxes of the fleet and the engines of a service.
//!
//! Before each domain had coordinators, and homes were found in one pass, with 6, 60 and 300 boxes:
//! placing among 9 engines 0.6, 1.7 and 6.6 us, among 160 engines 6.8, 7.7 and 13.7 us, among 12,000
//! engines 712, 645 and 975 us; a beat 0.16 us, of which each box took 17, 197 and 997 a second.
//! Now placing takes 0.27, 0.31 and 0.37 us among 9, 1.06, 1.10 and 1.11 us among 160, and 51, 49 and
//! 44 us among 12,000; a beat 0.23, 0.24 and 0.25 us, of which a coordinator takes 3, 37 and 197 a
//! second; a digest 1.6, 5.1 and 7.0 us, at most ten times a second.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dockgate_core::gateway::{
    BoxHeartbeat, BoxStatus, DigestScope, EndpointId, FleetView, best_homes,
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

fn beat(index: usize, sequence: u32) -> BoxHeartbeat {
    let address = SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_400));
    let processor = if index < 3 * DOMAINS { 500 } else { 120 };
    BoxHeartbeat::new(&format!("box-{index}"), &domain(index), address)
        .status(BoxStatus::new(processor))
        .sequence(sequence)
}

fn fleet(boxes: usize) -> FleetView {
    let mut view = FleetView::new(beat(0, 1));
    for index in 1..boxes {
        view.receive_heartbeat(beat(index, 1), Incarnation(1), NOW_MS);
    }
    view
}

fn place_prompt(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("place_prompt");
    for boxes in BOXES {
        let view = fleet(boxes);
        for engines in ENGINES {
            let id = BenchmarkId::from_parameter(format!("{boxes}-boxes-{engines}-engines"));
            let mut subject = 0;
            group.bench_function(id, |bencher| {
                bencher.iter(|| {
                    subject += 1;
                    let all = (0..engines).map(EndpointId);
                    let homes = best_homes(subject, all, HOMES, |_| true);
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

fn take_beat(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("take_beat");
    for boxes in BOXES {
        let mut view = fleet(boxes);
        let mut sequence = 1;
        group.bench_function(BenchmarkId::from_parameter(boxes), |bencher| {
            bencher.iter(|| {
                sequence += 1;
                view.receive_heartbeat(black_box(beat(1, sequence)), Incarnation(1), NOW_MS)
            });
        });
    }
    group.finish();
}

fn make_digest(criterion: &mut Criterion) {
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
    targets = place_prompt, take_beat, make_digest
}
criterion_main!(placing);
