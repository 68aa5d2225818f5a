use super::*;
use yare::parameterized;

fn event(nonce: &str, index: usize) -> String {
    let token = answer_token(nonce, index);
    format!("data: {{\"choices\":[{{\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n")
}

#[parameterized(
    complete = { "a", &[0, 1], true, AnswerVerdict::Complete },
    missing_end = { "a", &[0, 1], false, AnswerVerdict::Truncated },
    missing_token = { "a", &[0], true, AnswerVerdict::Truncated },
    repeated_token = { "a", &[0, 0], true, AnswerVerdict::Wrong },
    skipped_token = { "a", &[1], true, AnswerVerdict::Wrong },
    extra_token = { "a", &[0, 1, 2], true, AnswerVerdict::Wrong },
    other_nonce = { "b", &[0, 1], true, AnswerVerdict::Wrong },
)]
fn streamed_answers_are_classified(
    nonce: &str,
    tokens: &[usize],
    done: bool,
    expected: AnswerVerdict,
) {
    let mut checker = AnswerChecker::new("a".to_owned(), 2);
    for index in tokens {
        checker.feed(event(nonce, *index).as_bytes());
    }
    if done {
        checker.feed(b"data: [DONE]\n\n");
    }
    assert_eq!(checker.verdict(), expected);
}
