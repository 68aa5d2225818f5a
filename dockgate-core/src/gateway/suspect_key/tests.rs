use super::{FingerprintInput, InvalidSuspectKey, SuspectKey, SuspectKind};
use proptest::prelude::*;
use yare::parameterized;

const INPUT: FingerprintInput = FingerprintInput {
    workspace: "captions",
    method: "POST",
    host: "h.example",
    target: "/draft/x?q=1",
    body: b"hello",
};

#[parameterized(
    workspace = { FingerprintInput { workspace: "quizzes", ..INPUT } },
    method = { FingerprintInput { method: "PUT", ..INPUT } },
    host = { FingerprintInput { host: "i.example", ..INPUT } },
    path = { FingerprintInput { target: "/draft/y?q=1", ..INPUT } },
    query = { FingerprintInput { target: "/draft/x?q=2", ..INPUT } },
    body = { FingerprintInput { body: b"hullo", ..INPUT } },
    longer_body = { FingerprintInput { body: b"hello ", ..INPUT } },
    moved_part = { FingerprintInput { host: "h.exampl", target: "e/draft/x?q=1", ..INPUT } },
)]
fn different_requests_have_different_fingerprints(other: FingerprintInput) {
    assert_ne!(
        SuspectKey::of_request(&INPUT),
        SuspectKey::of_request(&other)
    );
}

#[parameterized(
    empty = { "" },
    short = { "0011" },
    long = { "00112233445566778899aabbccddeeff0" },
    sign = { "+0112233445566778899aabbccddeeff" },
    not_hex = { "g0112233445566778899aabbccddeeff" },
)]
fn invalid_texts_are_rejected(text: &str) {
    assert_eq!(text.parse::<SuspectKey>(), Err(InvalidSuspectKey));
}

proptest! {
    #[test]
    fn a_displayed_fingerprint_parses_to_the_same_value(bytes: [u8; 16]) {
        let fingerprint = SuspectKey::new(bytes);
        prop_assert_eq!(fingerprint.to_string().parse::<SuspectKey>(), Ok(fingerprint));
    }
}

#[test]
fn parts_differ_from_requests_and_by_service() {
    let part = SuspectKey::of_part("model", 7);
    assert_eq!(part.kind(), SuspectKind::Part);
    assert_eq!(part, SuspectKey::of_part("model", 7));
    assert_ne!(part, SuspectKey::of_part("model", 8));
    assert_ne!(part, SuspectKey::of_part("other", 7));
    assert_eq!(SuspectKey::of_request(&INPUT).kind(), SuspectKind::Request);
}

#[test]
fn shared_parts_leave_out_the_last_part_and_repeated_ones() {
    assert_eq!(SuspectKey::of_shared_parts("model", &[]), []);
    assert_eq!(SuspectKey::of_shared_parts("model", &[7]), []);
    let (first, second) = (
        SuspectKey::of_part("model", 7),
        SuspectKey::of_part("model", 8),
    );
    let keys = SuspectKey::of_shared_parts("model", &[7, 8, 7, 9]);
    assert_eq!(keys, [first, second]);
}

#[test]
fn a_prompt_with_a_thousand_parts_has_a_bounded_number_of_keys() {
    let prompt: Vec<u64> = (0..1_000).collect();
    let keys = SuspectKey::of_shared_parts("model", &prompt);
    let expected = (0..16).chain(983..999);
    let expected: Vec<SuspectKey> = expected
        .map(|part| SuspectKey::of_part("model", part))
        .collect();
    assert_eq!(keys, expected);
}
