use super::super::{SuspectEvent, SuspectRegistry, SuspectReport};
use crate::gateway::{EndpointId, SuspectKey};

fn part(number: u64) -> SuspectKey {
    SuspectKey::of_part("model", number)
}

fn request(number: u8) -> SuspectKey {
    SuspectKey::new([number; 16])
}

/// A registry in which one end follows the other, each half a second after the last.
#[derive(Default)]
struct EndedEndpoints {
    registry: SuspectRegistry,
    ends: u64,
}

impl EndedEndpoints {
    fn now_ms(&self) -> u64 {
        10_000 + self.ends * 500
    }

    fn end(&mut self, keys: &[SuspectKey]) {
        self.ends += 1;
        let endpoint = EndpointId(self.ends);
        self.registry.note_ended(keys, endpoint, self.now_ms());
    }

    fn is_quarantined(&self, key: SuspectKey) -> bool {
        self.registry.quarantine(key, self.now_ms()).is_some()
    }

    fn quarantined(&self, keys: &[SuspectKey]) -> Vec<SuspectKey> {
        let keys = keys.iter().copied();
        keys.filter(|key| self.is_quarantined(*key)).collect()
    }
}

#[test]
fn a_part_is_quarantined_at_its_third_end_and_what_ran_beside_it_is_not() {
    let mut ended = EndedEndpoints::default();
    ended.end(&[part(1), part(2), part(3), request(1)]);
    ended.end(&[part(1), part(2), request(1), request(2)]);
    ended.end(&[part(1), part(3), request(3)]);
    let keys = [
        part(1),
        part(2),
        part(3),
        request(1),
        request(2),
        request(3),
    ];
    assert_eq!(ended.quarantined(&keys), [part(1)]);
    // Ends that were noticed later are explained as well.
    ended.end(&[part(1), part(2), part(3), request(1)]);
    ended.end(&[part(1), part(2), part(3), request(1)]);
    assert_eq!(ended.quarantined(&keys), [part(1)]);
}

#[test]
fn a_sound_part_at_the_same_three_ends_delays_the_verdict_by_one_end() {
    let mut ended = EndedEndpoints::default();
    for _ in 0..3 {
        ended.end(&[part(1), part(2)]);
    }
    assert_eq!(ended.quarantined(&[part(1), part(2)]), []);
    ended.end(&[part(1)]);
    assert_eq!(ended.quarantined(&[part(1), part(2)]), [part(1)]);
}

#[test]
fn parts_that_always_come_together_are_quarantined_at_the_fifth_end() {
    let mut ended = EndedEndpoints::default();
    for _ in 0..4 {
        ended.end(&[part(1), part(2)]);
    }
    assert_eq!(ended.quarantined(&[part(1), part(2)]), []);
    ended.end(&[part(1), part(2)]);
    assert_eq!(ended.quarantined(&[part(1), part(2)]), [part(1), part(2)]);
}

#[test]
fn a_harmful_request_does_not_quarantine_the_parts_of_its_prompt() {
    let mut ended = EndedEndpoints::default();
    for _ in 0..5 {
        ended.end(&[part(1), part(2), request(1)]);
    }
    assert_eq!(
        ended.quarantined(&[part(1), part(2), request(1)]),
        [request(1)]
    );
}

#[test]
fn a_request_that_was_at_all_ends_of_a_harmful_part_is_released_at_its_next_end() {
    let mut ended = EndedEndpoints::default();
    for _ in 0..3 {
        ended.end(&[part(1), request(1)]);
    }
    assert_eq!(ended.quarantined(&[part(1), request(1)]), [request(1)]);
    ended.end(&[part(1), request(2)]);
    assert_eq!(ended.quarantined(&[part(1), request(1)]), [part(1)]);
}

#[test]
fn two_harmful_parts_with_common_ends_are_both_quarantined() {
    let mut ended = EndedEndpoints::default();
    ended.end(&[part(1)]);
    ended.end(&[part(1), part(2)]);
    ended.end(&[part(1), part(2)]);
    assert_eq!(ended.quarantined(&[part(1), part(2)]), [part(1)]);
    (0..3).for_each(|_| ended.end(&[part(2)]));
    assert_eq!(ended.quarantined(&[part(1), part(2)]), [part(1), part(2)]);
}

#[test]
fn a_sound_part_between_two_harmful_ones_is_released_at_their_verdicts() {
    let mut ended = EndedEndpoints::default();
    ended.end(&[part(1), part(3)]);
    ended.end(&[part(2), part(3)]);
    ended.end(&[part(1), part(3)]);
    assert_eq!(ended.quarantined(&[part(3)]), [part(3)]);
    for _ in 0..6 {
        ended.end(&[part(1)]);
        ended.end(&[part(2)]);
    }
    assert_eq!(
        ended.quarantined(&[part(1), part(2), part(3)]),
        [part(1), part(2)]
    );
}

/// A popular part is present at all ends of a harmful one, and may not complete for a while.
#[test]
fn a_part_that_has_completed_is_not_quarantined_with_a_harmful_one() {
    let mut ended = EndedEndpoints::default();
    ended.registry.note_completed(&[part(1)], 9_000);
    ended.end(&[part(1)]);
    for _ in 0..3 {
        ended.end(&[part(1), part(2)]);
    }
    assert_eq!(ended.quarantined(&[part(1), part(2)]), [part(2)]);
}

/// A new version of the software may not bear a part that earlier versions ran.
#[test]
fn a_part_that_has_completed_and_ends_endpoints_alone_is_quarantined() {
    let mut ended = EndedEndpoints::default();
    ended.registry.note_completed(&[part(1)], 9_000);
    for _ in 0..8 {
        ended.end(&[part(1)]);
        assert!(!ended.is_quarantined(part(1)), "after {} ends", ended.ends);
    }
    ended.end(&[part(1)]);
    assert!(ended.is_quarantined(part(1)));
}

#[test]
fn a_part_at_a_minority_of_the_ends_needs_five() {
    let mut ended = EndedEndpoints::default();
    for number in 0..4 {
        ended.end(&[part(1)]);
        ended.end(&[request(number)]);
        ended.end(&[request(number + 10)]);
    }
    assert!(!ended.is_quarantined(part(1)));
    ended.end(&[part(1)]);
    assert!(ended.is_quarantined(part(1)));
}

/// Another box knows from its own completions that a part is sound.
#[test]
fn a_completion_before_the_first_end_is_reported() {
    let mut other = SuspectRegistry::default();
    other.note_completed(&[part(1)], 1_000);
    other.note_ended(&[part(1)], EndpointId(1), 2_000);
    let mut ended = EndedEndpoints::default();
    ended.registry.receive(&other.reports(false, 2_100), 10_000);
    (0..3).for_each(|_| ended.end(&[part(1)]));
    assert!(!ended.is_quarantined(part(1)));
}

/// A box that has none of the evidence of the part must not impose the quarantine again.
#[test]
fn a_release_by_explanation_is_final_for_a_box_without_the_evidence() {
    let mut ended = EndedEndpoints::default();
    (0..3).for_each(|_| ended.end(&[part(1), request(1)]));
    let now_ms = ended.now_ms();
    let mut other = SuspectRegistry::default();
    other.receive(&ended.registry.reports(false, now_ms), now_ms);
    assert!(other.quarantine(request(1), now_ms).is_some());
    ended.end(&[part(1)]);
    let now_ms = ended.now_ms();
    for _ in 0..5 {
        let reports = ended.registry.reports(false, now_ms);
        let is_of_request = |report: &&SuspectReport| report.fingerprint == request(1);
        let reports: Vec<SuspectReport> = reports.iter().filter(is_of_request).copied().collect();
        other.receive(&reports, now_ms);
        assert!(other.quarantine(request(1), now_ms).is_none());
        ended
            .registry
            .receive(&other.reports(false, now_ms), now_ms);
        assert!(!ended.is_quarantined(request(1)));
    }
}

#[test]
fn the_evidence_against_a_harmful_part_survives_a_flood_of_new_parts() {
    let mut ended = EndedEndpoints::default();
    ended.end(&[part(1)]);
    ended.end(&[part(1), part(2)]);
    for number in 0..2_000 {
        ended.end(&[part(10_000 + number)]);
    }
    let reports = ended.registry.reports(false, ended.now_ms());
    assert!(reports.len() <= SuspectRegistry::MAX_REPORTS);
    assert!(ended.registry.suspects.len() <= 1_024 + SuspectRegistry::MAX_QUARANTINED);
    assert!(ended.registry.ended.len() <= SuspectRegistry::MAX_ENDED);
    ended.end(&[part(1)]);
    ended.end(&[part(1)]);
    ended.end(&[part(1)]);
    assert!(ended.is_quarantined(part(1)));
}

/// A datagram holds fewer reports than an end with many requests causes.
#[test]
fn reports_of_a_harmful_part_come_before_those_of_the_others_at_its_ends() {
    let mut ended = EndedEndpoints::default();
    for end in 0..3 {
        let others = (0..40).map(|number| part(100 + end * 40 + number));
        let requests = (0..20).map(|number| request((1 + end * 20 + number) as u8));
        let keys: Vec<SuspectKey> = [part(1)]
            .into_iter()
            .chain(others)
            .chain(requests)
            .collect();
        ended.end(&keys);
    }
    let reports = ended.registry.reports(false, ended.now_ms());
    let leading: Vec<SuspectKey> = reports[..4].iter().map(|row| row.fingerprint).collect();
    assert_eq!(leading, [part(1); 4]);
    assert!(matches!(reports[0].event, SuspectEvent::Quarantine(_)));
    assert!(reports.len() <= SuspectRegistry::MAX_REPORTS + SuspectRegistry::MAX_QUARANTINED);
}

#[test]
fn released_quarantines_do_not_push_out_those_in_force() {
    let mut ended = EndedEndpoints::default();
    (0..3).for_each(|_| ended.end(&[part(1)]));
    for number in 0..200 {
        (0..3).for_each(|_| ended.end(&[request(number)]));
        ended
            .registry
            .note_completed(&[request(number)], ended.now_ms());
    }
    ended.registry.expire(ended.now_ms());
    let kept = ended.registry.quarantines(ended.now_ms());
    assert_eq!(kept.len(), SuspectRegistry::MAX_QUARANTINED);
    assert_eq!(kept[0].0, part(1));
    assert!(ended.is_quarantined(part(1)));
}

/// Boxes that were out of touch must not begin to count anew.
#[test]
fn ends_that_boxes_noticed_out_of_touch_are_counted_together() {
    let mut ended = EndedEndpoints::default();
    ended.end(&[part(1)]);
    ended.end(&[part(1)]);
    let mut other = SuspectRegistry::default();
    other.note_ended(&[part(1)], EndpointId(100), ended.now_ms());
    let now_ms = ended.now_ms() + 10_000;
    let reports = ended.registry.reports(true, now_ms);
    let changes = other.receive(&reports, now_ms);
    assert!(changes.iter().any(|change| change.is_quarantined));
}

/// Sound parts that were blamed first, each for some of its ends, must not shield a harmful part.
#[test]
fn a_part_at_all_ends_of_the_blamed_ones_is_quarantined_in_their_place() {
    let mut ended = EndedEndpoints::default();
    let report = |key, end: u64| SuspectReport::new(key, SuspectEvent::Ended(EndpointId(end)));
    let ends = |key, all: std::ops::Range<u64>| all.map(move |end| report(key, end));
    for (key, all, now_ms) in [(part(2), 0..3, 9_000), (part(3), 3..6, 10_000)] {
        let reports: Vec<SuspectReport> = ends(key, all).collect();
        ended.registry.receive(&reports, now_ms);
    }
    assert_eq!(ended.quarantined(&[part(2), part(3)]), [part(2), part(3)]);
    let late: Vec<SuspectReport> = ends(part(1), 0..6).collect();
    ended.registry.receive(&late, 10_100);
    let keys = [part(1), part(2), part(3)];
    assert_eq!(ended.quarantined(&keys), [part(1)]);
}

/// Without further ends no report arrives at which the boxes would judge again.
#[test]
fn a_part_that_has_completed_is_quarantined_without_another_end() {
    let mut ended = EndedEndpoints::default();
    ended.registry.note_completed(&[part(1)], 9_000);
    for _ in 0..5 {
        ended.end(&[part(1)]);
    }
    let last_ms = ended.now_ms();
    ended.registry.expire(last_ms + 1_900);
    assert_eq!(ended.registry.quarantined_count(last_ms + 1_900), 0);
    let changes = ended.registry.expire(last_ms + 2_000);
    let quarantined = changes.iter().map(|change| change.fingerprint);
    assert_eq!(quarantined.collect::<Vec<SuspectKey>>(), [part(1)]);
    assert!(ended.registry.expire(last_ms + 2_100).is_empty());
}
