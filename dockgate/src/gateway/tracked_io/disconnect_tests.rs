//! Callers send requests and disconnect in any order: no work continues afterwards.

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

/// The limit of heads of a connection.
const HEAD_BYTES: usize = 8_192;

/// A step of the simulated caller or its service.
#[derive(Debug, Clone)]
enum CallerStep {
    /// The caller sends a complete request with a body of this size.
    Send { body: usize, is_chunked: bool },
    /// The caller sends the first bytes of a request.
    SendPart { bytes: usize },
    /// The caller sends an empty line.
    SendEmptyLine,
    /// The service answers the oldest request.
    Answer,
    /// All tasks run.
    RunTasks,
}

/// How the caller disconnects.
#[derive(Debug, Clone, Copy)]
enum DisconnectKind {
    Close,
    Reset,
    HalfClose,
}

fn step() -> impl Strategy<Value = CallerStep> {
    prop_oneof![
        4 => (0_usize..3_000, any::<bool>())
            .prop_map(|(body, is_chunked)| CallerStep::Send { body, is_chunked }),
        1 => (1_usize..60).prop_map(|bytes| CallerStep::SendPart { bytes }),
        1 => Just(CallerStep::SendEmptyLine),
        2 => Just(CallerStep::Answer),
        2 => Just(CallerStep::RunTasks),
    ]
}

fn end() -> impl Strategy<Value = DisconnectKind> {
    prop_oneof![
        Just(DisconnectKind::Close),
        Just(DisconnectKind::Reset),
        Just(DisconnectKind::HalfClose)
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

/// Counters of the service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct WorkCounters {
    /// Requests whose caller was connected, so that they were sent to an endpoint.
    sent: usize,
    /// Requests that are neither answered nor dropped.
    in_progress: usize,
}

/// Counts a request while it is processed.
struct InProgressGuard(Arc<Mutex<WorkCounters>>);

impl InProgressGuard {
    fn new(counters: &Arc<Mutex<WorkCounters>>) -> Self {
        let mut locked = counters.lock().unwrap();
        locked.sent += 1;
        locked.in_progress += 1;
        Self(counters.clone())
    }
}

impl Drop for InProgressGuard {
    fn drop(&mut self) {
        self.0.lock().unwrap().in_progress -= 1;
    }
}

/// Processes a request as a call does: reads it, checks its caller, and waits for the answer.
async fn process(
    request: Request<Incoming>,
    caller: DisconnectMonitor,
    counters: Arc<Mutex<WorkCounters>>,
    answers: Arc<Semaphore>,
) -> Response<Full<Bytes>> {
    let body = request.into_body().collect().await;
    if body.is_ok() && !caller.is_disconnected() {
        let _guard = InProgressGuard::new(&counters);
        answers.acquire().await.unwrap().forget();
    }
    Response::new(Full::new(Bytes::from_static(b"done")))
}

async fn run_tasks() {
    tokio::time::sleep(Duration::from_millis(1)).await;
}

/// Simulates a caller until it has disconnected; `is_answered` answers its oldest request then.
async fn simulate_caller(
    steps: Vec<CallerStep>,
    end: DisconnectKind,
    is_answered: bool,
) -> Result<(), TestCaseError> {
    let (mut caller, stream) = pair().await;
    let monitor = stream.disconnect_monitor();
    let connection = Arc::new(ConnectionState::new(HEAD_BYTES));
    let counters = Arc::<Mutex<WorkCounters>>::default();
    let answers = Arc::new(Semaphore::new(0));
    let (state, service_counters, permits) =
        (connection.clone(), counters.clone(), answers.clone());
    let served = tokio::spawn(async move {
        let io = TokioIo::new(TrackedIo::new(stream, state.clone()));
        let service = service_fn(|request| {
            state.begin_request();
            let processed = process(
                request,
                monitor.clone(),
                service_counters.clone(),
                permits.clone(),
            );
            let state = state.clone();
            async move {
                let response = processed.await;
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
            CallerStep::SendEmptyLine => {
                let _ = caller.write_all(b"\r\n").await;
            }
            CallerStep::Answer => answers.add_permits(1),
            CallerStep::RunTasks => run_tasks().await,
        }
        let _ = caller.try_read(&mut answer);
    }
    let _half_closed = match end {
        DisconnectKind::Close => {
            drop(caller);
            None
        }
        DisconnectKind::Reset => {
            caller.set_zero_linger().unwrap();
            drop(caller);
            None
        }
        DisconnectKind::HalfClose => {
            caller.shutdown().await.unwrap();
            Some(caller)
        }
    };
    // No task runs meanwhile, but the system receives the end of the connection.
    std::thread::sleep(Duration::from_millis(2));
    let sent = counters.lock().unwrap().sent;
    answers.add_permits(usize::from(is_answered));
    for _ in 0..500 {
        if served.is_finished() {
            break;
        }
        run_tasks().await;
    }
    prop_assert!(served.is_finished(), "the connection is still served");
    let final_counters = *counters.lock().unwrap();
    prop_assert_eq!(
        final_counters,
        WorkCounters {
            sent,
            in_progress: 0
        }
    );
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against work for a caller whose disconnect the system has already seen.
    #[test]
    fn no_request_starts_or_continues_after_a_disconnect(
        steps in prop::collection::vec(step(), 1..14),
        end in end(),
        is_answered in any::<bool>(),
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        runtime.block_on(simulate_caller(steps, end, is_answered))?;
    }
}

/// Guards against sending a pipelined request when unread bytes precede the disconnect and the
/// runtime has not polled the socket yet.
#[tokio::test]
async fn disconnects_behind_unread_bytes_are_detected_before_a_poll() {
    let sends = [
        (1_324, false),
        (2_430, true),
        (687, true),
        (843, false),
        (1_320, false),
        (1_236, true),
    ];
    let steps = sends.map(|(body, is_chunked)| CallerStep::Send { body, is_chunked });
    simulate_caller(steps.to_vec(), DisconnectKind::Close, true)
        .await
        .unwrap();
}
