use super::*;

const MODEL: u64 = 7;
const PLAIN: u64 = 8;
const fn of(service: u64, version: SoftwareVersion) -> ServiceVersion {
    ServiceVersion { service, version }
}

const V1: SoftwareVersion = SoftwareVersion(1);
const V2: SoftwareVersion = SoftwareVersion(2);
const WITHIN_MS: u64 = 30_000;

fn observed(versions: &[SoftwareVersion], until_ms: u64) -> VersionHistory {
    let mut history = VersionHistory::default();
    for now_ms in (0..=until_ms).step_by(300) {
        let present = versions.iter().map(|version| of(MODEL, *version));
        history.observe(present.chain([of(PLAIN, V2)]), true, now_ms);
    }
    history
}

/// Guards against a version that has left and is forgotten while its streams can be taken up.
#[test]
fn version_that_left_counts_for_as_long_as_its_streams_can_be_taken_up() {
    let mut history = observed(&[V1, V2], 60_000);
    assert_eq!(history.only_version(MODEL, WITHIN_MS, 60_000), None);
    for now_ms in (60_300..=90_300).step_by(300) {
        history.observe([of(MODEL, V2)].into_iter(), true, now_ms);
    }
    assert_eq!(history.only_version(MODEL, WITHIN_MS, 90_000), None);
    assert_eq!(history.only_version(MODEL, WITHIN_MS, 90_300), Some(V2));
    assert!(history.is_mixed(MODEL, 90_300), "within the retention");
}

/// Guards against a box that takes the one version that it knows for the only one after it was cut
/// off.
#[test]
fn box_without_contact_may_have_missed_a_version() {
    let mut history = observed(&[V1], 60_000);
    let present = || [of(MODEL, V1)].into_iter();
    assert!(history.is_gapless(WITHIN_MS, 60_000));
    history.observe(present(), false, 60_300);
    history.observe(present(), true, 60_600);
    assert!(!history.is_gapless(WITHIN_MS, 90_300));
    assert!(history.is_gapless(WITHIN_MS, 90_301));
    assert_eq!(history.only_version(MODEL, WITHIN_MS, 60_600), Some(V1));
    history.complete(present(), VersionHistory::RETENTION_MS, 60_900);
    assert!(history.is_gapless(WITHIN_MS, 60_900));
}

/// Guards against a box that knows nothing of the time in which it was suspended.
#[test]
fn suspended_box_observes_the_versions_anew() {
    let mut history = observed(&[V1], 60_000);
    assert_eq!(history.only_version(MODEL, WITHIN_MS, 60_000), Some(V1));
    history.record_gap();
    history.observe([of(MODEL, V1)].into_iter(), true, 60_300);
    assert_eq!(history.only_version(MODEL, WITHIN_MS, 60_300), None);
    assert_eq!(history.only_version(MODEL, WITHIN_MS, 90_300), Some(V1));
}

#[test]
fn endpoints_of_unknown_version_are_not_of_one_version() {
    let history = observed(&[SoftwareVersion::UNKNOWN], 60_000);
    assert_eq!(history.only_version(MODEL, WITHIN_MS, 60_000), None);
    assert_eq!(history.only_version(PLAIN, WITHIN_MS, 60_000), Some(V2));
    assert_eq!(history.only_version(9, WITHIN_MS, 60_000), None);
}

/// Guards against a clock that has just started.
#[test]
fn versions_from_another_source_reach_back_before_the_clock_started() {
    let mut history = VersionHistory::default();
    history.observe([of(MODEL, V1)].into_iter(), true, 200);
    history.complete(
        [of(MODEL, V1)].into_iter(),
        VersionHistory::RETENTION_MS,
        300,
    );
    assert_eq!(history.only_version(MODEL, WITHIN_MS, 300), Some(V1));
    history.complete(
        [of(MODEL, V2)].into_iter(),
        VersionHistory::RETENTION_MS,
        300,
    );
    assert_eq!(history.only_version(MODEL, WITHIN_MS, 300), None);
}
