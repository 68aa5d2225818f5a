use super::{FingerprintInput, InvalidFingerprint, RequestFingerprint};
use proptest::prelude::*;
use yare::parameterized;

const SOURCE: FingerprintInput = FingerprintInput {
    workspace: "captions",
    method: "POST",
    host: "h.example",
    target: "/draft/x?q=1",
    body: b"hello",
};

#[parameterized(
    workspace = { FingerprintInput { workspace: "quizzes", ..SOURCE } },
    method = { FingerprintInput { method: "PUT", ..SOURCE } },
    host = { FingerprintInput { host: "i.example", ..SOURCE } },
    path = { FingerprintInput { target: "/draft/y?q=1", ..SOURCE } },
    query = { FingerprintInput { target: "/draft/x?q=2", ..SOURCE } },
    body = { FingerprintInput { body: b"hullo", ..SOURCE } },
    longer_body = { FingerprintInput { body: b"hello ", ..SOURCE } },
    moved_part = { FingerprintInput { host: "h.exampl", target: "e/draft/x?q=1", ..SOURCE } },
)]
fn requests_that_differ_have_other_prints(other: FingerprintInput) {
    assert_ne!(
        RequestFingerprint::of(&SOURCE),
        RequestFingerprint::of(&other)
    );
}

#[parameterized(
    empty = { "" },
    short = { "0011" },
    long = { "00112233445566778899aabbccddeeff0" },
    sign = { "+0112233445566778899aabbccddeeff" },
    not_hex = { "g0112233445566778899aabbccddeeff" },
)]
fn what_is_no_print_is_not_read(text: &str) {
    assert_eq!(text.parse::<RequestFingerprint>(), Err(InvalidFingerprint));
}

proptest! {
    #[test]
    fn what_is_written_is_read_again(bytes: [u8; 16]) {
        let fingerprint = RequestFingerprint::new(bytes);
        prop_assert_eq!(fingerprint.to_string().parse::<RequestFingerprint>(), Ok(fingerprint));
    }
}
