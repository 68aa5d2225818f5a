use super::*;
use yare::parameterized;

fn event(nonce: &str, index: usize) -> String {
    let token = answer_token(nonce, index);
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n")
}

#[parameterized(
    whole = { "a", &[0, 1], true, CheckVerdict::Whole },
    no_end = { "a", &[0, 1], false, CheckVerdict::Truncated },
    short = { "a", &[0], true, CheckVerdict::Truncated },
    doubled = { "a", &[0, 0], true, CheckVerdict::Wrong },
    skipped = { "a", &[1], true, CheckVerdict::Wrong },
    long = { "a", &[0, 1, 2], true, CheckVerdict::Wrong },
    another = { "b", &[0, 1], true, CheckVerdict::Wrong },
)]
fn streams_are_judged(nonce: &str, tokens: &[usize], done: bool, expected: CheckVerdict) {
    let mut check = AnswerCheck::new("a".to_owned(), 2);
    for index in tokens {
        check.feed(event(nonce, *index).as_bytes());
    }
    if done {
        check.feed(b"data: [DONE]\n\n");
    }
    assert_eq!(check.verdict(), expected);
}
