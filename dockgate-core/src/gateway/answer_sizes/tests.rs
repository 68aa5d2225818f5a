use super::*;

fn key_of(service: u64) -> AnswerKey {
    AnswerKey {
        workspace: 1,
        service,
    }
}

/// Guards against a reservation for all answers that is as large as a rare one.
#[test]
fn rare_large_answer_raises_the_expectation_by_its_share() {
    let mut sizes = AnswerSizes::default();
    for number in 0..400 {
        let bytes = if number % 100 == 50 { 1 << 20 } else { 1 << 10 };
        sizes.record(key_of(1), bytes);
    }
    assert!(sizes.expected(key_of(1)) < 8 << 10);
}

/// Guards against memory that grows with the number of names that ever were in a configuration.
#[test]
fn number_of_means_is_bounded() {
    let mut sizes = AnswerSizes::default();
    for service in 0..10_000 {
        sizes.record(key_of(service), 0);
    }
    assert_eq!(sizes.means.len(), AnswerSizes::MAX_MEANS);
    assert!(sizes.means.contains_key(&key_of(9_999)));
}
