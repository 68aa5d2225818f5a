//! The cost of the quarantine for other requests: computing keys, looking them up and recording
//! completions; and the cost of an end.

use criterion::{BatchSize, BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use dockgate_core::gateway::{EndpointId, FingerprintInput, SuspectKey, SuspectRegistry};
use std::hint::black_box;
use std::time::Duration;

fn fingerprint(body: &[u8]) -> SuspectKey {
    SuspectKey::of_request(&FingerprintInput {
        workspace: "captions",
        method: "POST",
        host: "h.example",
        target: "/draft/2f?q=1",
        body,
    })
}

fn suspect_key(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request_print");
    for bytes in [0, 1_000, 10_000, 100_000, 1_000_000] {
        let body = vec![7; bytes];
        group.throughput(Throughput::Bytes(bytes as u64));
        group.bench_function(BenchmarkId::from_parameter(bytes), |bencher| {
            bencher.iter(|| fingerprint(black_box(&body)));
        });
    }
    group.finish();
}

fn quarantine_lookup(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("known_request");
    for suspects in [0, 64, 1_024_u64] {
        let mut registry = SuspectRegistry::default();
        for number in 0..suspects {
            let fingerprint = fingerprint(&number.to_le_bytes());
            let ends = if number < 64 { 3 } else { 1 };
            for end in 0..ends {
                registry.note_ended(&[fingerprint], EndpointId(number * 3 + end), 1);
            }
        }
        let key = fingerprint(b"other");
        group.bench_function(BenchmarkId::from_parameter(suspects), |bencher| {
            bencher.iter(|| black_box(&registry).quarantine(black_box(key), 2).is_some());
        });
        group.bench_function(format!("{suspects}-any"), |bencher| {
            bencher.iter(|| black_box(&registry).has_quarantined());
        });
    }
    group.finish();
}

/// A registry in which a harmful part is in quarantine, and others are suspects.
fn part_registry(suspects: u64) -> SuspectRegistry {
    let mut registry = SuspectRegistry::default();
    for end in 0..3 {
        let others = (0..suspects / 3).map(|number| part(1_000 + end * suspects + number));
        let keys: Vec<SuspectKey> = [part(0)].into_iter().chain(others).collect();
        registry.note_ended(&keys, EndpointId(end), 1);
    }
    registry
}

fn part(number: u64) -> SuspectKey {
    SuspectKey::of_part("model", number)
}

/// The work for each request with a prompt of four parts: its keys, the check and the completion.
fn shared_parts(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("shared_parts");
    for count in [4, 1_000_u64] {
        let prompt: Vec<u64> = (0..count).collect();
        group.bench_function(format!("keys-{count}"), |bencher| {
            bencher.iter(|| SuspectKey::of_shared_parts("model", black_box(&prompt)));
        });
    }
    for suspects in [0, 60, 900] {
        let mut registry = part_registry(suspects);
        let keys = [fingerprint(b"other"), part(1), part(2), part(1_001)];
        group.bench_function(format!("check-{suspects}"), |bencher| {
            let is_free = |key: &SuspectKey| registry.quarantine(*key, 2).is_none();
            bencher.iter(|| black_box(&keys).iter().all(is_free));
        });
        group.bench_function(format!("completed-{suspects}"), |bencher| {
            bencher.iter(|| registry.note_completed(black_box(&keys), 3));
        });
    }
    group.finish();
}

/// An end with 20 requests and 40 parts, and the reports about it.
fn part_ends(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("part_ends");
    let parts = (1..=40).map(part);
    let requests = (0..20_u64).map(|number| fingerprint(&number.to_le_bytes()));
    let keys: Vec<SuspectKey> = parts.chain(requests).collect();
    for suspects in [0, 60, 900] {
        let registry = part_registry(suspects);
        group.bench_function(format!("ended-{suspects}"), |bencher| {
            bencher.iter_batched_ref(
                || registry.clone(),
                |registry| registry.note_ended(black_box(&keys), EndpointId(9), 3),
                BatchSize::SmallInput,
            );
        });
        let mut ended = registry.clone();
        ended.note_ended(&keys, EndpointId(9), 3);
        group.bench_function(format!("reports-{suspects}"), |bencher| {
            bencher.iter(|| black_box(&ended).reports(true, 4));
        });
        let reports = ended.reports(true, 4);
        group.bench_function(format!("received-{suspects}"), |bencher| {
            bencher.iter_batched_ref(
                || registry.clone(),
                |registry| registry.receive(black_box(&reports), 5),
                BatchSize::SmallInput,
            );
        });
        group.bench_function(format!("repeated-{suspects}"), |bencher| {
            bencher.iter(|| ended.receive(black_box(&reports), 5));
        });
    }
    group.finish();
}

criterion_group! {
    name = suspects;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(500));
    targets = suspect_key, quarantine_lookup, shared_parts, part_ends
}
criterion_main!(suspects);
