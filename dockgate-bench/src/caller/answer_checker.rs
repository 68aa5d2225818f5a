//! Checks that an answer is exactly the one that its request must produce.

use crate::standin::answer_token;
use serde::Deserialize;

/// Result of checking an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// Complete and correct.
    Complete,
    /// Correct as far as it goes, but incomplete.
    Truncated,
    /// Differs from the expected answer.
    Wrong,
}

#[derive(Debug, Deserialize)]
struct StreamDelta {
    content: Option<String>,
}

#[derive(Debug, Deserialize)]
struct StreamChoice {
    delta: StreamDelta,
}

#[derive(Debug, Deserialize)]
struct StreamEvent {
    choices: Vec<StreamChoice>,
}

/// Checks a streamed answer incrementally.
#[derive(Debug)]
pub struct AnswerChecker {
    nonce: String,
    expected_tokens: usize,
    next_token: usize,
    line: Vec<u8>,
    done: bool,
    wrong: bool,
}

impl AnswerChecker {
    /// Creates a checker that expects `expected_tokens` tokens of the answer to `nonce`.
    pub const fn new(nonce: String, expected_tokens: usize) -> Self {
        Self {
            nonce,
            expected_tokens,
            next_token: 0,
            line: Vec::new(),
            done: false,
            wrong: false,
        }
    }

    /// Processes the next bytes and returns the number of tokens completed by them.
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        let before = self.next_token;
        for byte in bytes {
            match byte {
                b'\n' => self.process_line(),
                byte => self.line.push(*byte),
            }
        }
        self.next_token - before
    }

    fn process_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        match line.strip_prefix(b"data: ") {
            Some(b"[DONE]") => self.done = true,
            Some(data) => match serde_json::from_slice::<StreamEvent>(data) {
                Ok(event) => self.check_event(event),
                Err(_) => self.wrong = true,
            },
            None => {}
        }
    }

    fn check_event(&mut self, event: StreamEvent) {
        for content in event
            .choices
            .into_iter()
            .filter_map(|choice| choice.delta.content)
        {
            self.wrong |= content != answer_token(&self.nonce, self.next_token);
            self.next_token += 1;
        }
    }

    /// Returns the verdict on the bytes received so far.
    pub const fn verdict(&self) -> AnswerVerdict {
        match (
            self.wrong || self.next_token > self.expected_tokens,
            self.done,
        ) {
            (true, _) => AnswerVerdict::Wrong,
            (false, true) if self.next_token == self.expected_tokens => AnswerVerdict::Complete,
            _ => AnswerVerdict::Truncated,
        }
    }
}

/// Checks an answer that is not streamed.
pub fn check_complete_answer(body: &[u8], nonce: &str, expected_tokens: usize) -> AnswerVerdict {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let text = value["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    let expected_text: String = (0..expected_tokens)
        .map(|index| answer_token(nonce, index))
        .collect();
    match text {
        text if text == expected_text => AnswerVerdict::Complete,
        text if expected_text.starts_with(text) => AnswerVerdict::Truncated,
        _ => AnswerVerdict::Wrong,
    }
}

#[cfg(test)]
mod tests;
