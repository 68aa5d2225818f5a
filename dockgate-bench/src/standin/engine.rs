//! A stand-in for a model engine with continuous batching, a bounded prefix cache and streams.

use super::http::{AbortedConnection, StandInBody, answer, serve};
use super::tally::{LateRunCounter, RunTally};
use crate::error::BenchError;
use bytes::Bytes;
use dockgate_proto::headers;
use futures::channel::mpsc;
use futures::{SinkExt, stream};
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Deserialize;
use std::collections::{HashSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Number of prompt bytes per token.
const BYTES_PER_TOKEN: usize = 4;
/// Number of prompt tokens per block of the prefix cache.
const BLOCK_TOKENS: usize = 16;

/// The nonce of a prompt whose stream is one line that hardly ends.
pub const ENDLESS_NONCE: &str = "endless";
/// The size of such a line, and of its parts, in bytes.
const ENDLESS_BYTES: usize = 64 << 20;
const ENDLESS_PART_BYTES: usize = 64 << 10;

/// The capacity and speed of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineProfile {
    /// Maximum number of concurrent requests.
    pub slots: usize,
    /// Maximum tokens per second of one stream.
    pub stream_rate: f64,
    /// Maximum tokens per second of all streams together.
    pub total_rate: f64,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: f64,
    /// Maximum number of blocks in the prefix cache.
    pub cache_blocks: usize,
    /// Interval of batch steps.
    pub step: Duration,
}

impl EngineProfile {
    /// Creates the profile of an engine with `slots` slots and `stream_rate` tokens per second and
    /// stream.
    pub fn new(slots: usize, stream_rate: f64) -> Self {
        Self {
            slots,
            stream_rate,
            total_rate: stream_rate * slots as f64,
            prefill_rate: 20_000.0,
            cache_blocks: 4_096,
            step: Duration::from_millis(25),
        }
    }
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    messages: Vec<ChatMessage>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<usize>,
    /// Number of answer tokens that the caller already has.
    #[serde(default)]
    resume_from: usize,
}

/// A cache of prompt blocks that evicts the oldest ones.
#[derive(Debug, Default)]
struct PrefixCache {
    blocks: HashSet<u64>,
    order: VecDeque<u64>,
}

impl PrefixCache {
    /// Adds the blocks of a prompt, and returns the number of tokens that were not cached.
    fn missing_tokens(&mut self, prompt: &str, max_blocks: usize) -> usize {
        let size = BLOCK_TOKENS * BYTES_PER_TOKEN;
        let mut hash = 0_u64;
        let mut missing = 0;
        for block in prompt.as_bytes().chunks(size) {
            hash = block
                .iter()
                .fold(hash ^ 0x9e37_79b9_7f4a_7c15, |hash, byte| {
                    (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
                });
            if self.blocks.insert(hash) {
                missing += block.len().div_ceil(BYTES_PER_TOKEN);
                self.order.push_back(hash);
            }
        }
        while self.order.len() > max_blocks {
            if let Some(oldest) = self.order.pop_front() {
                self.blocks.remove(&oldest);
            }
        }
        missing
    }
}

struct EngineState {
    profile: EngineProfile,
    tally: Arc<RunTally>,
    running: AtomicUsize,
    is_killed: AtomicBool,
    cache: Mutex<PrefixCache>,
    late_runs: Arc<LateRunCounter>,
    /// The number of bytes sent of lines that hardly end, and of such lines.
    endless_bytes: AtomicUsize,
    endless_lines: AtomicUsize,
    stop: CancellationToken,
}

/// An engine on a loopback port.
pub struct EngineStandIn {
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Counts runs that start too late after the engine was marked as leaving.
    pub late_runs: Arc<LateRunCounter>,
    state: Arc<EngineState>,
}

impl EngineStandIn {
    /// Starts an engine that records its runs in a tally.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn start(profile: EngineProfile, tally: Arc<RunTally>) -> Result<Self, BenchError> {
        tally.add_slots(profile.slots as isize);
        let state = Arc::new(EngineState {
            profile,
            tally,
            running: AtomicUsize::new(0),
            is_killed: AtomicBool::new(false),
            cache: Mutex::default(),
            late_runs: Arc::default(),
            endless_bytes: AtomicUsize::new(0),
            endless_lines: AtomicUsize::new(0),
            stop: CancellationToken::new(),
        });
        let handler_state = state.clone();
        let handle = move |request| handle(handler_state.clone(), request);
        let address = serve(handle, state.stop.clone()).await?;
        let late_runs = state.late_runs.clone();
        Ok(Self {
            address,
            late_runs,
            state,
        })
    }

    /// Stops listening and cuts all connections.
    pub fn kill(&self) {
        if !self.state.is_killed.swap(true, Ordering::AcqRel) {
            self.state
                .tally
                .add_slots(-(self.state.profile.slots as isize));
            self.state.stop.cancel();
        }
    }

    /// Returns the number of bytes sent of lines that hardly end, and of such lines.
    pub fn endless_lines(&self) -> (usize, usize) {
        let bytes = self.state.endless_bytes.load(Ordering::Acquire);
        (bytes, self.state.endless_lines.load(Ordering::Acquire))
    }

    /// Returns the number of requests running now.
    pub fn running(&self) -> usize {
        self.state.running.load(Ordering::Acquire)
    }
}

/// A run that holds a slot until it is dropped.
struct EngineRun {
    state: Arc<EngineState>,
    workspace: String,
}

impl EngineRun {
    fn start(state: &Arc<EngineState>, workspace: &str, nonce: &str) -> Option<Self> {
        let slots = state.profile.slots;
        let taken = state
            .running
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |running| {
                (running < slots).then_some(running + 1)
            });
        if taken.is_err() {
            state.tally.add_refusal();
            return None;
        }
        state.late_runs.start();
        state.tally.start(workspace, nonce);
        Some(Self {
            state: state.clone(),
            workspace: workspace.to_owned(),
        })
    }

    /// Returns the current tokens per second of each stream.
    fn rate(&self) -> f64 {
        let running = self.state.running.load(Ordering::Acquire).max(1);
        let profile = &self.state.profile;
        profile.stream_rate.min(profile.total_rate / running as f64)
    }
}

impl Drop for EngineRun {
    fn drop(&mut self) {
        self.state.running.fetch_sub(1, Ordering::AcqRel);
        self.state.tally.end(&self.workspace);
    }
}

/// Returns the text of the answer token at `index` for a prompt with a nonce.
pub fn answer_token(nonce: &str, index: usize) -> String {
    format!("{nonce}.{index} ")
}

/// Returns the nonce of a prompt, which is its last word.
fn nonce_of(prompt: &str) -> &str {
    prompt.rsplit(' ').next().unwrap_or(prompt)
}

fn header_text(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

async fn handle(
    state: Arc<EngineState>,
    request: Request<Incoming>,
) -> Result<Response<StandInBody>, AbortedConnection> {
    if request.uri().path() != "/v1/chat/completions" {
        return Ok(answer(StatusCode::NOT_FOUND, "no such path"));
    }
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| AbortedConnection)?
        .to_bytes();
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
        return Ok(answer(StatusCode::BAD_REQUEST, "not a chat request"));
    };
    let workspace = header_text(&parts.headers, headers::WORKSPACE);
    let prompts: Vec<&str> = chat
        .messages
        .iter()
        .map(|part| part.content.as_str())
        .collect();
    let prompt = prompts.join("\n");
    let nonce = nonce_of(&prompt).to_owned();
    let Some(run) = EngineRun::start(&state, &workspace, &nonce) else {
        return Ok(answer(StatusCode::TOO_MANY_REQUESTS, "every slot is taken"));
    };
    let missing = {
        let mut cache = state.cache.lock().unwrap_or_else(PoisonError::into_inner);
        cache.missing_tokens(&prompt, state.profile.cache_blocks)
    };
    state.tally.add_recomputed(chat.resume_from as u64);
    let task = EngineTask {
        run,
        nonce,
        first: chat.resume_from,
        tokens: chat.max_tokens.unwrap_or(1),
        prompt_tokens: prompt.len().div_ceil(BYTES_PER_TOKEN),
        prefill: Duration::from_secs_f64(missing as f64 / state.profile.prefill_rate),
        attempt: header_text(&parts.headers, headers::ATTEMPT_ID),
    };
    match chat.stream {
        true if task.nonce == ENDLESS_NONCE => Ok(task.stream_endless()),
        true => Ok(task.stream()),
        false => task.complete().await,
    }
}

fn event_stream(body: StandInBody) -> Response<StandInBody> {
    let mut response = Response::new(body);
    let kind = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// A request that runs on an engine.
struct EngineTask {
    run: EngineRun,
    nonce: String,
    first: usize,
    tokens: usize,
    prompt_tokens: usize,
    prefill: Duration,
    attempt: String,
}

impl EngineTask {
    /// Computes tokens step by step; `emit` receives the range of each step and returns whether to
    /// continue.
    async fn compute<F, A>(&self, mut emit: F)
    where
        F: FnMut(std::ops::Range<usize>) -> A,
        A: Future<Output = bool>,
    {
        tokio::time::sleep(self.prefill).await;
        let mut computed = 0.0;
        let mut next = self.first;
        let mut last = Instant::now();
        while next < self.tokens {
            tokio::time::sleep(self.run.state.profile.step).await;
            if self.run.state.is_killed.load(Ordering::Acquire) {
                return;
            }
            let now = Instant::now();
            computed += self.run.rate() * (now - last).as_secs_f64();
            last = now;
            let end = self.tokens.min(self.first + computed as usize);
            if end > next {
                self.run
                    .state
                    .tally
                    .add_units(&self.run.workspace, (end - next) as f64);
                if !emit(next..end).await {
                    return;
                }
                next = end;
            }
        }
    }

    fn usage(&self) -> serde_json::Value {
        serde_json::json!({
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.tokens - self.first,
        })
    }

    fn step_text(&self, range: std::ops::Range<usize>) -> String {
        let mut text = String::new();
        for index in range {
            let token = answer_token(&self.nonce, index);
            // Writing to a string cannot fail.
            let _ = write!(
                text,
                "data: {{\"id\":\"{}\",\"choices\":[{{\"index\":0,\"delta\":{{\"content\":\"{token}\"}}}}]}}\n\n",
                self.attempt
            );
        }
        text
    }

    /// Streams a line of [`ENDLESS_BYTES`] that no empty line follows.
    fn stream_endless(self) -> Response<StandInBody> {
        self.run.state.endless_lines.fetch_add(1, Ordering::AcqRel);
        let parts = stream::unfold((self, 0), |(task, sent)| async move {
            if sent >= ENDLESS_BYTES {
                return None;
            }
            let counter = &task.run.state.endless_bytes;
            counter.fetch_add(ENDLESS_PART_BYTES, Ordering::AcqRel);
            let part = Bytes::from(vec![b'x'; ENDLESS_PART_BYTES]);
            Some((Ok(Frame::data(part)), (task, sent + ENDLESS_PART_BYTES)))
        });
        event_stream(StreamBody::new(parts).boxed())
    }

    fn stream(self) -> Response<StandInBody> {
        let (sender, receiver) = mpsc::channel::<Result<Frame<Bytes>, AbortedConnection>>(4);
        tokio::spawn(async move {
            let feed = sender.clone();
            self.compute(|range| {
                let text = self.step_text(range);
                let mut feed = feed.clone();
                async move { feed.send(Ok(Frame::data(text.into()))).await.is_ok() }
            })
            .await;
            let mut sender = sender;
            let last = match self.run.state.is_killed.load(Ordering::Acquire) {
                true => Err(AbortedConnection),
                false => {
                    let usage = serde_json::json!({ "choices": [], "usage": self.usage() });
                    let text = format!("data: {usage}\n\ndata: [DONE]\n\n");
                    Ok(Frame::data(Bytes::from(text)))
                }
            };
            // Frees the slot before the caller sees the end.
            drop(self);
            let _ = sender.send(last).await;
        });
        event_stream(StreamBody::new(receiver).boxed())
    }

    async fn complete(self) -> Result<Response<StandInBody>, AbortedConnection> {
        self.compute(|_| async { true }).await;
        if self.run.state.is_killed.load(Ordering::Acquire) {
            return Err(AbortedConnection);
        }
        let tokens = (self.first..self.tokens).map(|index| answer_token(&self.nonce, index));
        let text: String = tokens.collect();
        let body = serde_json::json!({
            "id": self.attempt,
            "object": "chat.completion",
            "choices": [{ "index": 0, "message": { "role": "assistant", "content": text } }],
            "usage": self.usage(),
        });
        Ok(answer(StatusCode::OK, body.to_string()))
    }
}

#[cfg(test)]
mod tests;
