//! What a caller sends, and when it leaves, in any order: nothing goes on for it afterwards.

use super::*;
use crate::shared_stream::tests::pair;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use proptest::prelude::*;
use std::convert::Infallible;
use std::sync::Mutex;
use tokio::io::AsyncWriteExt;
use tokio::sync::Semaphore;

/// What a caller does, or what is done for it.
#[derive(Debug, Clone)]
enum CallerStep {
    /// It sends a whole request with a body of so many bytes.
    Send { body: usize, is_chunked: bool },
    /// It sends the first bytes of one.
    SendPart { bytes: usize },
    /// It sends an empty line.
    SendLine,
    /// Its oldest request is answered.
    Answer,
    /// Everybody gets a turn.
    Turn,
}

/// How it leaves in the end.
#[derive(Debug, Clone, Copy)]
enum CallerEnd {
    Closes,
    Resets,
    EndsSending,
}

fn step() -> impl Strategy<Value = CallerStep> {
    prop_oneof![
        4 => (0_usize..3_000, any::<bool>())
            .prop_map(|(body, is_chunked)| CallerStep::Send { body, is_chunked }),
        1 => (1_usize..60).prop_map(|bytes| CallerStep::SendPart { bytes }),
        1 => Just(CallerStep::SendLine),
        2 => Just(CallerStep::Answer),
        2 => Just(CallerStep::Turn),
    ]
}

fn end() -> impl Strategy<Value = CallerEnd> {
    prop_oneof![
        Just(CallerEnd::Closes),
        Just(CallerEnd::Resets),
        Just(CallerEnd::EndsSending)
    ]
}

fn request_text(body: usize, is_chunked: bool) -> Vec<u8> {
    let bytes = "b".repeat(body);
    match is_chunked && body > 0 {
        true => format!(
            "POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n{body:x}\r\n{bytes}\r\n\
             0\r\n\r\n"
        ),
        false => {
            format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {body}\r\n\r\n{bytes}")
        }
    }
    .into_bytes()
}

/// What a service has seen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct WorkSeen {
    /// Requests that went on to an endpoint, as their caller was there.
    sent: usize,
    /// Those that are not answered, and not dropped.
    working: usize,
}

/// Counts a request while it is worked on.
struct WorkGuard(Arc<Mutex<WorkSeen>>);

impl WorkGuard {
    fn new(seen: &Arc<Mutex<WorkSeen>>) -> Self {
        let mut counts = seen.lock().unwrap();
        counts.sent += 1;
        counts.working += 1;
        Self(seen.clone())
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.0.lock().unwrap().working -= 1;
    }
}

/// Works on a request as a call does: reads it, looks for its caller before it goes on, and is answered later.
async fn work(
    request: Request<Incoming>,
    caller: DisconnectMonitor,
    seen: Arc<Mutex<WorkSeen>>,
    answers: Arc<Semaphore>,
) -> Response<Full<Bytes>> {
    let body = request.into_body().collect().await;
    if body.is_ok() && !caller.is_disconnected() {
        let _guard = WorkGuard::new(&seen);
        answers.acquire().await.unwrap().forget();
    }
    Response::new(Full::new(Bytes::from_static(b"done")))
}

async fn turn() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}

/// Plays what a caller does until it has left; `is_answered` tells whether its oldest request is answered then.
async fn play(
    steps: Vec<CallerStep>,
    end: CallerEnd,
    is_answered: bool,
) -> Result<(), TestCaseError> {
    let (mut caller, stream) = pair().await;
    let monitor = stream.disconnect_monitor();
    let connection = Arc::new(ConnectionState::new());
    let seen = Arc::<Mutex<WorkSeen>>::default();
    let answers = Arc::new(Semaphore::new(0));
    let (state, counts, permits) = (connection.clone(), seen.clone(), answers.clone());
    let served = tokio::spawn(async move {
        let io = TokioIo::new(TrackedIo::new(stream, state.clone()));
        let service = service_fn(|request| {
            state.begin_request();
            let worked = work(request, monitor.clone(), counts.clone(), permits.clone());
            let state = state.clone();
            async move {
                let response = worked.await;
                state.end_request();
                Ok::<_, Infallible>(response)
            }
        });
        let mut served = pin!(Builder::new().serve_connection(io, service));
        state.serve_until_closed(served.as_mut(), &monitor).await;
    });

    let mut answer = [0; 4_096];
    for step in steps {
        match step {
            CallerStep::Send { body, is_chunked } => {
                let _ = caller.write_all(&request_text(body, is_chunked)).await;
            }
            CallerStep::SendPart { bytes } => {
                let text = request_text(40, false);
                let _ = caller.write_all(&text[..bytes.min(text.len() - 1)]).await;
            }
            CallerStep::SendLine => {
                let _ = caller.write_all(b"\r\n").await;
            }
            CallerStep::Answer => answers.add_permits(1),
            CallerStep::Turn => turn().await,
        }
        let _ = caller.try_read(&mut answer);
    }
    let _kept = match end {
        CallerEnd::Closes => {
            drop(caller);
            None
        }
        CallerEnd::Resets => {
            caller.set_zero_linger().unwrap();
            drop(caller);
            None
        }
        CallerEnd::EndsSending => {
            caller.shutdown().await.unwrap();
            Some(caller)
        }
    };
    // No task runs meanwhile, but the system hears of the end: from here on the box could have seen it.
    std::thread::sleep(Duration::from_millis(2));
    let sent = seen.lock().unwrap().sent;
    answers.add_permits(usize::from(is_answered));
    for _ in 0..500 {
        if served.is_finished() {
            break;
        }
        turn().await;
    }
    prop_assert!(served.is_finished(), "it is served on");
    let ended = *seen.lock().unwrap();
    prop_assert_eq!(ended, WorkSeen { sent, working: 0 });
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Once the system knows that a caller has left, nothing more is sent for it, and all that runs ends.
    #[test]
    fn nothing_is_begun_or_goes_on_for_a_caller_who_has_left(
        steps in prop::collection::vec(step(), 1..14),
        end in end(),
        is_answered in any::<bool>(),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(play(steps, end, is_answered))?;
    }
}

/// The library had read some of the requests and not the rest when the caller left; the next one was sent, as the
/// runtime had not asked the system yet and bytes stood before the end.
#[tokio::test]
async fn an_end_behind_bytes_is_seen_before_the_runtime_has_asked_for_it() {
    let sends = [
        (1_324, false),
        (2_430, true),
        (687, true),
        (843, false),
        (1_320, false),
        (1_236, true),
    ];
    let steps = sends.map(|(body, is_chunked)| CallerStep::Send { body, is_chunked });
    play(steps.to_vec(), CallerEnd::Closes, true).await.unwrap();
}
