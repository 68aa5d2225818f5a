use super::*;
use crate::clock::now_ms;
use crate::gateway::gateway_state::tests::state_with_seed;
use dockgate_core::Incarnation;
use dockgate_core::gateway::{BoxHeartbeat, LatencyLimits, PromptShape};
use dockgate_proto::GatewayDatagram;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use yare::parameterized;

const RUN: u32 = 7;
const ENGINE: EndpointId = EndpointId(3);

/// Creates the state of a box that knows one other box, at `owner`, which owns the engine.
async fn state_with_owner(owner: SocketAddr) -> (GatewayState, BoxKey) {
    let datagrams = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    // Registers the socket as writable, so that `try_send` succeeds.
    datagrams.writable().await.unwrap();
    let state = state_with_seed(datagrams, owner);
    let heartbeat = BoxHeartbeat::new("a2", "a", owner);
    state.with(|view| {
        view.fleet
            .receive_heartbeat(heartbeat, Incarnation(1), now_ms())
    });
    (state, BoxKey::from_name("a2"))
}

fn admission_request() -> AdmissionRequest {
    let prompt = PromptShape {
        model: String::new(),
        input: 500,
        output: 20,
        max_output: 20,
        parts: Vec::new(),
    };
    let times = LatencyLimits {
        objective_ms: 300,
        shortest_objective_ms: 300,
        budget_ms: 15_000,
    };
    AdmissionRequest::new(1, &prompt, times)
}

/// Returns the kinds of the messages received so far.
fn received_kinds(socket: &UdpSocket) -> Vec<&'static str> {
    let mut buffer = [0; 2_000];
    let datagrams = std::iter::from_fn(|| {
        let (length, _) = socket.try_recv_from(&mut buffer).ok()?;
        let datagram = GatewayDatagram::decode(&buffer[..length]).unwrap();
        Some(datagram.message.kind())
    });
    datagrams.collect()
}

/// How a slot request ends.
#[derive(Debug, Clone, Copy)]
enum RequestEnd {
    Claimed,
    CallerLeaves,
}

/// A caller may leave after the verdict has arrived and before its task runs. Unless the grant is
/// then released, the owner counts the prompt until the deadline.
#[parameterized(
    granted_and_claimed = { AdmissionVerdict::Granted(40), RequestEnd::Claimed, &["seek"] },
    granted_and_dropped = { AdmissionVerdict::Granted(40), RequestEnd::CallerLeaves, &["seek", "ended"] },
    declined_and_dropped = { AdmissionVerdict::Declined(900), RequestEnd::CallerLeaves, &["seek"] },
)]
#[test_macro(tokio::test)]
async fn unclaimed_grants_are_released(
    verdict: AdmissionVerdict,
    end: RequestEnd,
    expected: &[&str],
) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let (state, owner) = state_with_owner(socket.local_addr().unwrap()).await;
    let request = PendingSlotRequest::send(&state, RUN, ENGINE, owner, &admission_request());
    let sender = state.with(|view| view.slot_requests.remove(&RUN)).unwrap();
    sender.send(verdict).unwrap();
    match end {
        RequestEnd::Claimed => assert_eq!(request.verdict().await, Some(verdict)),
        RequestEnd::CallerLeaves => drop(request),
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    socket.readable().await.unwrap();
    assert_eq!(received_kinds(&socket), expected);
}

/// Guards against a wait that the owner goes on counting after its entry has given up, as the owner
/// is cut off or its verdict is lost.
#[parameterized(
    unanswered = { None, &["wait", "ended"] },
    granted = { Some(AdmissionVerdict::Granted(40)), &["wait"] },
    declined = { Some(AdmissionVerdict::Declined(900)), &["wait"] },
)]
#[test_macro(tokio::test)]
async fn unanswered_waits_are_withdrawn(answer: Option<AdmissionVerdict>, expected: &[&str]) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let (state, owner) = state_with_owner(socket.local_addr().unwrap()).await;
    let terms = WaitTerms {
        priority: 1,
        wait_ms: 5,
    };
    let request =
        PendingSlotRequest::send_wait(&state, RUN, ENGINE, owner, admission_request(), terms);
    if let Some(answer) = answer {
        let sender = state.with(|view| view.slot_requests.remove(&RUN)).unwrap();
        sender.send(answer).unwrap();
    }
    assert_eq!(request.verdict().await, answer);
    assert!(state.with(|view| view.slot_requests.is_empty()));
    tokio::time::sleep(Duration::from_millis(20)).await;
    socket.readable().await.unwrap();
    assert_eq!(received_kinds(&socket), expected);
}
