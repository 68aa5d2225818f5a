use super::*;
use crate::clock::now_ms;
use crate::gateway::gateway_state::tests::state_with_seed;
use dockgate_core::Incarnation;
use dockgate_core::gateway::{AskTimes, BoxHeartbeat, PromptShape};
use dockgate_proto::GatewayDatagram;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use yare::parameterized;

const RUN: u32 = 7;
const ENGINE: EndpointId = EndpointId(3);

/// Makes a box that knows another one, which decides for an engine at `owner`.
async fn box_beside(owner: SocketAddr) -> (GatewayState, BoxKey) {
    let datagrams = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    // The runtime knows that a socket takes datagrams once it was asked.
    datagrams.writable().await.unwrap();
    let state = state_with_seed(datagrams, owner);
    let beat = BoxHeartbeat::new("a2", "a", owner);
    state.with(|view| view.fleet.receive_heartbeat(beat, Incarnation(1), now_ms()));
    (state, BoxKey::from_name("a2"))
}

fn ask() -> EngineAsk {
    let prompt = PromptShape {
        model: String::new(),
        input: 500,
        output: 20,
        most_output: 20,
        parts: Vec::new(),
    };
    let times = AskTimes {
        objective_ms: 300,
        shortest_ms: 300,
        budget_ms: 15_000,
    };
    EngineAsk::new(1, &prompt, times)
}

/// Lists what has come, by kind.
fn received(socket: &UdpSocket) -> Vec<&'static str> {
    let mut buffer = [0; 2_000];
    let datagrams = std::iter::from_fn(|| {
        let (length, _) = socket.try_recv_from(&mut buffer).ok()?;
        let datagram = GatewayDatagram::decode(&buffer[..length]).unwrap();
        Some(datagram.message.kind())
    });
    datagrams.collect()
}

/// What becomes of a question.
#[derive(Debug, Clone, Copy)]
enum SeekEnd {
    Taken,
    CallerLeaves,
}

/// On a box that is short of processor callers leave while the verdict is there and their tasks have not run
/// yet; the engine was then believed to work on the prompt until the caller's time was over, 15 s.
#[parameterized(
    granted_and_taken = { EngineVerdict::Granted(40), SeekEnd::Taken, &["seek"] },
    granted_to_nobody = { EngineVerdict::Granted(40), SeekEnd::CallerLeaves, &["seek", "ended"] },
    declined_to_nobody = { EngineVerdict::Declined(900), SeekEnd::CallerLeaves, &["seek"] },
)]
#[test_macro(tokio::test)]
async fn a_place_that_nobody_takes_is_given_back(
    verdict: EngineVerdict,
    end: SeekEnd,
    told: &[&str],
) {
    let socket = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let (state, owner) = box_beside(socket.local_addr().unwrap()).await;
    let seek = PendingSeek::send(&state, RUN, ENGINE, owner, &ask());
    let waiting = state.with(|view| view.slot_requests.remove(&RUN)).unwrap();
    waiting.send(verdict).unwrap();
    match end {
        SeekEnd::Taken => assert_eq!(seek.verdict().await, Some(verdict)),
        SeekEnd::CallerLeaves => drop(seek),
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    socket.readable().await.unwrap();
    assert_eq!(received(&socket), told);
}
