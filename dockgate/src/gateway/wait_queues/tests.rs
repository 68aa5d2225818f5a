use super::super::gateway_state::tests::state_with_seed;
use super::super::plain_placement::{
    PlainDecline, PlainPlacement, PlainWait, request_plain_placement, wait_for_plain,
};
use super::super::settings::GatewaySettings;
use super::super::wait_window::WaitWindow;
use super::*;
use crate::clock::ClockInstant;
use dockgate_core::Incarnation;
use dockgate_core::gateway::{
    BoxHeartbeat, EndpointChange, EndpointRecord, EndpointState, ShareLevel, StoreRevision,
};
use dockgate_platform::FleetConditions;
use dockgate_proto::{GatewayDatagram, GatewayMessage};
use tokio::net::UdpSocket;
use yare::parameterized;

const RUN: u32 = 7;

fn record(state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: "e".to_owned(),
        started_ms: None,
        service: "plain".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 2,
        state,
        warmup_ms: 0,
        version: "v1".to_owned(),
    }
}

fn endpoint() -> EndpointId {
    record(EndpointState::Ready).key()
}

fn write(state: &GatewayState, written: EndpointState, revision: u64) {
    let change = EndpointChange::Put(record(written), StoreRevision::from(revision));
    state.apply_endpoints(vec![change], None, "test");
}

/// Creates the state of a box that owns a full endpoint, and the requests there.
async fn full_owner(contended: bool) -> (Arc<GatewayState>, Vec<PlainPlacement>) {
    let datagrams = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    // Registers the socket as writable, so that `try_send` succeeds.
    datagrams.writable().await.unwrap();
    let own = datagrams.local_addr().unwrap();
    let state = Arc::new(state_with_seed(datagrams, own));
    state.set_settings(GatewaySettings {
        conditions: FleetConditions { contended },
        ..GatewaySettings::clone(&state.settings())
    });
    write(&state, EndpointState::Ready, 1);
    let mut placed = Vec::new();
    while let Ok(placement) =
        request_plain_placement(&state, endpoint(), Duration::from_secs(3)).await
    {
        placed.push(placement);
    }
    (state, placed)
}

/// Makes another box, whose socket is returned, known as an entry.
async fn add_entry(state: &GatewayState) -> (BoxKey, UdpSocket) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let heartbeat = BoxHeartbeat::new("b1", "b", socket.local_addr().unwrap());
    let entry = heartbeat.key();
    state.with(|view| {
        view.fleet
            .receive_heartbeat(heartbeat, Incarnation(1), now_ms())
    });
    (entry, socket)
}

/// Receives a verdict at an entry, with the number of its run.
async fn verdict_at(socket: &UdpSocket) -> (u32, AdmissionVerdict) {
    let mut buffer = [0; 2_000];
    let received = tokio::time::timeout(Duration::from_secs(5), socket.recv_from(&mut buffer));
    let (length, _) = received.await.unwrap().unwrap();
    match GatewayDatagram::decode(&buffer[..length]).unwrap().message {
        GatewayMessage::Verdict { run, verdict, .. } => (run, verdict),
        message => panic!("{message:?}"),
    }
}

fn wait_request(state: &GatewayState, entry: BoxKey, priority: u8, number: u32) {
    let key = RunKey { entry, number };
    let request = AdmissionRequest {
        workspace: 1,
        objective_ms: 60_000,
        shortest_objective_ms: 60_000,
        budget_ms: 60_000,
        level: ShareLevel::WITHIN,
        input: 0,
        output: 0,
        parts: Vec::new(),
    };
    let terms = WaitTerms {
        priority,
        wait_ms: 30_000,
    };
    receive_wait_request(state, key, endpoint(), request, terms);
}

/// Returns the number of waiting requests and that of counted runs.
fn counts(state: &GatewayState) -> (usize, usize) {
    state.with(|view| {
        let queue = queue_of(view, endpoint());
        (
            queue.map_or(0, WaitQueue::len),
            view.plain_loads.count(endpoint()),
        )
    })
}

/// Guards against a change of a fleet whose conditions do not ask for waiting.
#[tokio::test]
async fn nothing_waits_without_the_condition() {
    let (state, placed) = full_owner(false).await;
    let (entry, socket) = add_entry(&state).await;
    wait_request(&state, entry, 0, RUN);
    drop(placed);
    assert_eq!(counts(&state), (0, 0));
    assert!(state.with(|view| view.wait_queues.is_empty()));
    assert!(socket.try_recv_from(&mut [0; 100]).is_err());
}

#[tokio::test]
async fn freed_slots_go_to_waiting_requests_in_order() {
    let (state, mut placed) = full_owner(true).await;
    let (entry, socket) = add_entry(&state).await;
    let full = placed.len();
    wait_request(&state, entry, 1, RUN);
    wait_request(&state, entry, 0, RUN + 1);
    assert_eq!(counts(&state), (2, full));
    placed.pop();
    let granted = AdmissionVerdict::Granted(0);
    assert_eq!(verdict_at(&socket).await, (RUN + 1, granted));
    assert_eq!(counts(&state), (1, full));
    let late = request_plain_placement(&state, endpoint(), Duration::from_secs(3)).await;
    assert!(matches!(late.err(), Some(PlainDecline::Full(_))));
    let number = RUN + 1;
    end_run(&state, endpoint(), RunKey { entry, number });
    assert_eq!(verdict_at(&socket).await, (RUN, granted));
    assert_eq!(counts(&state), (0, full));
}

/// What goes wrong with the messages of a request that waits.
#[derive(Debug, Clone, Copy)]
enum MessageFault {
    None,
    /// The verdict is lost, and the entry times out.
    LostVerdict,
    /// The request arrives twice while it waits and once after it was granted.
    Doubled,
    /// The entry gives up before the request arrives.
    LateRequest,
    /// The entry gives up while the request waits.
    CallerLeaves,
    /// The entry restarts while the request waits.
    EntryRestarts,
    /// The endpoint leaves while the request waits, and the request arrives once more.
    EndpointLeaves,
}

/// Guards against a count that stays at the owner until the deadline of a request that has ended.
#[parameterized(
    none = { MessageFault::None },
    lost_verdict = { MessageFault::LostVerdict },
    doubled = { MessageFault::Doubled },
    late_request = { MessageFault::LateRequest },
    caller_leaves = { MessageFault::CallerLeaves },
    entry_restarts = { MessageFault::EntryRestarts },
    endpoint_leaves = { MessageFault::EndpointLeaves },
)]
#[test_macro(tokio::test)]
async fn message_faults_leave_no_count(fault: MessageFault) {
    let (state, placed) = full_owner(true).await;
    let (entry, socket) = add_entry(&state).await;
    let key = RunKey { entry, number: RUN };
    if matches!(fault, MessageFault::LateRequest) {
        end_run(&state, endpoint(), key);
    }
    wait_request(&state, entry, 0, RUN);
    match fault {
        MessageFault::None | MessageFault::LostVerdict | MessageFault::LateRequest => {}
        MessageFault::Doubled => wait_request(&state, entry, 0, RUN),
        MessageFault::CallerLeaves => end_run(&state, endpoint(), key),
        MessageFault::EntryRestarts => forget_entry(&state, entry),
        MessageFault::EndpointLeaves => {
            write(&state, EndpointState::Draining, 2);
            process_queue(&state, endpoint());
            assert_eq!(verdict_at(&socket).await.1, AdmissionVerdict::Leaving);
            wait_request(&state, entry, 0, RUN);
            assert_eq!(counts(&state).0, 0);
        }
    }
    drop(placed);
    match fault {
        MessageFault::None => {
            assert_eq!(verdict_at(&socket).await.1, AdmissionVerdict::Granted(0));
            assert_eq!(counts(&state), (0, 1));
            end_run(&state, endpoint(), key);
        }
        MessageFault::Doubled => {
            assert_eq!(verdict_at(&socket).await.1, AdmissionVerdict::Granted(0));
            wait_request(&state, entry, 0, RUN);
            assert!(socket.try_recv_from(&mut [0; 100]).is_err());
            assert_eq!(counts(&state), (0, 1));
            end_run(&state, endpoint(), key);
        }
        // The entry reports the end, though it never saw the grant.
        MessageFault::LostVerdict => end_run(&state, endpoint(), key),
        _ => {}
    }
    assert_eq!(counts(&state), (0, 0));
}

fn plain_wait(objective: Duration) -> PlainWait {
    PlainWait {
        workspace: 1,
        level: ShareLevel::WITHIN,
        window: WaitWindow {
            arrived: ClockInstant::now(),
            objective,
            priority: 1,
        },
        time_left: objective,
    }
}

/// Guards against requests of callers of the owner itself that stay in its queue or its counts.
#[tokio::test]
async fn caller_of_the_owner_waits_and_may_leave() {
    let (state, mut placed) = full_owner(true).await;
    let full = placed.len();
    let objective = Duration::from_secs(60);
    let wait = || {
        let state = state.clone();
        tokio::spawn(
            async move { wait_for_plain(&state, endpoint(), plain_wait(objective), 0).await },
        )
    };
    let (leaving, staying) = (wait(), wait());
    while counts(&state).0 < 2 {
        tokio::task::yield_now().await;
    }
    leaving.abort();
    assert!(leaving.await.is_err());
    assert_eq!(counts(&state), (1, full));
    placed.pop();
    let placement = staying.await.unwrap();
    let Ok(placement) = placement else {
        panic!("the slot is granted")
    };
    assert_eq!(counts(&state), (0, full));
    drop((placement, placed));
    assert_eq!(counts(&state), (0, 0));
}

/// Guards against holding a request that is known to be late, and against one that is held in vain
/// for longer than its wait.
#[tokio::test]
async fn requests_that_cannot_be_in_time_are_declined() {
    let (state, _placed) = full_owner(true).await;
    let objective = Duration::from_millis(500);
    let late = wait_for_plain(&state, endpoint(), plain_wait(objective), 200).await;
    assert_eq!(late.err(), Some(PlainDecline::Full(200)));
    assert_eq!(counts(&state).0, 0);
    let processing = tokio::spawn(process_queues(state.clone()));
    let held = wait_for_plain(&state, endpoint(), plain_wait(objective), 0).await;
    assert!(matches!(held.err(), Some(PlainDecline::Full(_))));
    assert_eq!(counts(&state).0, 0);
    processing.abort();
}
