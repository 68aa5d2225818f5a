use super::{BadPrint, PrintSource, RequestPrint};
use proptest::prelude::*;
use yare::parameterized;

const SOURCE: PrintSource = PrintSource {
    workspace: "captions",
    method: "POST",
    host: "h.example",
    target: "/draft/x?q=1",
    body: b"hello",
};

#[parameterized(
    workspace = { PrintSource { workspace: "quizzes", ..SOURCE } },
    method = { PrintSource { method: "PUT", ..SOURCE } },
    host = { PrintSource { host: "i.example", ..SOURCE } },
    path = { PrintSource { target: "/draft/y?q=1", ..SOURCE } },
    query = { PrintSource { target: "/draft/x?q=2", ..SOURCE } },
    body = { PrintSource { body: b"hullo", ..SOURCE } },
    longer_body = { PrintSource { body: b"hello ", ..SOURCE } },
    moved_part = { PrintSource { host: "h.exampl", target: "e/draft/x?q=1", ..SOURCE } },
)]
fn requests_that_differ_have_other_prints(other: PrintSource) {
    assert_ne!(RequestPrint::of(&SOURCE), RequestPrint::of(&other));
}

#[parameterized(
    empty = { "" },
    short = { "0011" },
    long = { "00112233445566778899aabbccddeeff0" },
    sign = { "+0112233445566778899aabbccddeeff" },
    not_hex = { "g0112233445566778899aabbccddeeff" },
)]
fn what_is_no_print_is_not_read(text: &str) {
    assert_eq!(text.parse::<RequestPrint>(), Err(BadPrint));
}

proptest! {
    #[test]
    fn what_is_written_is_read_again(bytes: [u8; 16]) {
        let print = RequestPrint::new(bytes);
        prop_assert_eq!(print.to_string().parse::<RequestPrint>(), Ok(print));
    }
}
