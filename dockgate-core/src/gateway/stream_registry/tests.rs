use super::*;

const LIFE_MS: u32 = 30_000;

fn record(workspace: u64, number: usize) -> StreamRecord {
    StreamRecord {
        key: StreamKey::new(&workspace.to_string(), "model", &number.to_string()),
        workspace,
        version: SoftwareVersion(1 + number as u64 % 2),
        life_ms: LIFE_MS,
    }
}

/// Guards against a late report that changes the version of a stream.
#[test]
fn version_of_a_stream_never_changes() {
    let mut registry = StreamRegistry::default();
    let first = record(1, 0);
    let second = StreamRecord {
        version: SoftwareVersion(9),
        ..first
    };
    registry.record_begun(first, 7, 0);
    registry.receive(second, 20_000);
    assert_eq!(registry.version(first.key, 45_000), Some(first.version));
    registry.expire(50_001);
    assert!(registry.is_empty());
}

/// Guards against a workspace whose requests evict the streams of others.
#[test]
fn full_registry_evicts_the_oldest_streams_of_the_largest_workspace() {
    let mut registry = StreamRegistry::default();
    let kept = record(2, 0);
    registry.receive(kept, 0);
    for number in 0..2 * StreamRegistry::MAX_STREAMS {
        registry.receive(record(1, number), 0);
    }
    assert_eq!(registry.len(), StreamRegistry::MAX_STREAMS);
    assert_eq!(registry.version(kept.key, 1), Some(kept.version));
    assert_eq!(registry.version(record(1, 0).key, 1), None);
    let newest = record(1, 2 * StreamRegistry::MAX_STREAMS - 1);
    assert_eq!(registry.version(newest.key, 1), Some(newest.version));
}

#[test]
fn streams_are_reported_once_and_only_for_services_that_are_due() {
    let mut registry = StreamRegistry::default();
    registry.record_begun(record(1, 0), 7, 0);
    registry.record_begun(record(1, 1), 8, 0);
    registry.receive(record(1, 2), 0);
    let due = registry.take_unreported(|service| service == 7, 10_000);
    let reported = StreamRecord {
        life_ms: LIFE_MS - 10_000,
        ..record(1, 0)
    };
    assert_eq!(due, [reported]);
    assert_eq!(registry.take_unreported(|service| service == 7, 10_000), []);
    assert_eq!(registry.take_unreported(|_| true, 10_000).len(), 1);
}
