//! What a request pays for the quarantine of others: its fingerprint, and the look whether it is known.
//!
//! Its fingerprint costs 0.2 microseconds, with a body of 1 kB 1.2, of 10 kB 6.8, of 100 kB 24, of 1 MB 190 (one run);
//! it is worked out where others are in quarantine, or endpoints ended lately. Before, and where there are none, it is
//! the look whether there are any: 2 ns.

use criterion::{BenchmarkId, Criterion, Throughput, criterion_group, criterion_main};
use dockgate_core::gateway::{EndpointId, FingerprintInput, RequestFingerprint, SuspectRegistry};
use std::hint::black_box;
use std::time::Duration;

fn fingerprint(body: &[u8]) -> RequestFingerprint {
    RequestFingerprint::of(&FingerprintInput {
        workspace: "captions",
        method: "POST",
        host: "h.example",
        target: "/draft/2f?q=1",
        body,
    })
}

fn request_fingerprint(criterion: &mut Criterion) {
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

fn known_request(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("known_request");
    for suspects in [0, 64, 1_024_u64] {
        let mut book = SuspectRegistry::default();
        for number in 0..suspects {
            let fingerprint = fingerprint(&number.to_le_bytes());
            let ends = if number < 64 { 3 } else { 1 };
            for end in 0..ends {
                book.note_ended(fingerprint, EndpointId(number * 3 + end), 1);
            }
        }
        let other = fingerprint(b"other");
        group.bench_function(BenchmarkId::from_parameter(suspects), |bencher| {
            bencher.iter(|| black_box(&book).quarantine(black_box(other), 2).is_some());
        });
        group.bench_function(format!("{suspects}-any"), |bencher| {
            bencher.iter(|| black_box(&book).has_quarantined());
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
    targets = request_fingerprint, known_request
}
criterion_main!(suspects);
