//! Checks an answer byte by byte against what its own request must give.

use crate::standin::answer_token;
use serde::Deserialize;

/// What an answer turned out to be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CheckVerdict {
    /// Whole and right.
    Whole,
    /// Right as far as it goes, but it ends too early.
    Truncated,
    /// Not the answer to this request.
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

/// Follows a streamed answer.
#[derive(Debug)]
pub struct AnswerCheck {
    nonce: String,
    expected: usize,
    next: usize,
    line: Vec<u8>,
    done: bool,
    wrong: bool,
}

impl AnswerCheck {
    /// Expects so many tokens of the answer to this nonce.
    pub const fn new(nonce: String, expected: usize) -> Self {
        Self {
            nonce,
            expected,
            next: 0,
            line: Vec::new(),
            done: false,
            wrong: false,
        }
    }

    /// Takes in the next bytes; returns how many tokens they completed.
    pub fn feed(&mut self, bytes: &[u8]) -> usize {
        let before = self.next;
        for byte in bytes {
            match byte {
                b'\n' => self.end_line(),
                byte => self.line.push(*byte),
            }
        }
        self.next - before
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        match line.strip_prefix(b"data: ") {
            Some(b"[DONE]") => self.done = true,
            Some(data) => match serde_json::from_slice::<StreamEvent>(data) {
                Ok(event) => self.read_event(event),
                Err(_) => self.wrong = true,
            },
            None => {}
        }
    }

    fn read_event(&mut self, event: StreamEvent) {
        for content in event
            .choices
            .into_iter()
            .filter_map(|choice| choice.delta.content)
        {
            self.wrong |= content != answer_token(&self.nonce, self.next);
            self.next += 1;
        }
    }

    /// Judges the answer at its end.
    pub const fn verdict(&self) -> CheckVerdict {
        match (self.wrong || self.next > self.expected, self.done) {
            (true, _) => CheckVerdict::Wrong,
            (false, true) if self.next == self.expected => CheckVerdict::Whole,
            _ => CheckVerdict::Truncated,
        }
    }
}

/// Judges an answer that came whole.
pub fn check_whole(body: &[u8], nonce: &str, expected: usize) -> CheckVerdict {
    let value: serde_json::Value = serde_json::from_slice(body).unwrap_or_default();
    let text = value["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default();
    let right: String = (0..expected)
        .map(|index| answer_token(nonce, index))
        .collect();
    match text {
        text if text == right => CheckVerdict::Whole,
        text if right.starts_with(text) => CheckVerdict::Truncated,
        _ => CheckVerdict::Wrong,
    }
}

#[cfg(test)]
mod tests;
