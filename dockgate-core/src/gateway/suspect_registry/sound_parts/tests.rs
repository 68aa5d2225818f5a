use super::SoundParts;
use crate::gateway::SuspectKey;

#[test]
fn a_flood_of_new_parts_does_not_displace_a_frequent_one() {
    let frequent = SuspectKey::of_part("model", 1);
    let mut parts = SoundParts::default();
    for number in 0..10_000 {
        parts.note_completed(SuspectKey::of_part("model", 100 + number), number);
        if number % 50 == 0 {
            parts.note_completed(frequent, number);
        }
        if number % 500 == 499 {
            parts.expire(0);
        }
        assert!(parts.completions.len() <= SoundParts::MAX_PARTS);
    }
    assert_eq!(parts.completed_ms(frequent), Some(9_950));
}

#[test]
fn parts_that_become_frequent_replace_those_that_were() {
    let mut parts = SoundParts::default();
    let part = |number| SuspectKey::of_part("model", number);
    for round in 0..40 {
        (0..2_000).for_each(|number| parts.note_completed(part(number), round));
    }
    for round in 40..100 {
        (5_000..5_900).for_each(|number| parts.note_completed(part(number), round));
        parts.expire(0);
    }
    assert!((5_000..5_900).all(|number| parts.completed_ms(part(number)).is_some()));
    parts.expire(101);
    assert!(parts.completions.is_empty());
}
