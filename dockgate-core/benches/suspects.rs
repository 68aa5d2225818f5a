//! The cost of the quarantine for other requests: computing a fingerprint and looking it up.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
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

criterion_group! {
    name = suspects;
    config = Criterion::default()
        .sample_size(20)
        .warm_up_time(Duration::from_millis(200))
        .measurement_time(Duration::from_millis(500));
    targets = suspect_key, quarantine_lookup
}
criterion_main!(suspects);
