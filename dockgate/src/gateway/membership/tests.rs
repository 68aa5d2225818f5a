use super::*;
use crate::gateway::gateway_state::tests::state_with_seed;
use dockgate_core::gateway::{EndpointChange, RouteConfig, StoreRevision};
use dockgate_proto::GatewayDatagram;
use tokio::net::UdpSocket;

async fn socket(address: &str) -> UdpSocket {
    UdpSocket::bind(address).await.unwrap()
}

fn count_datagrams(socket: &UdpSocket) -> usize {
    let mut buffer = [0; 2_000];
    let received = std::iter::from_fn(|| socket.try_recv_from(&mut buffer).ok());
    received.count()
}

/// Binds two sockets with the same port at two loopback addresses, like two boxes.
async fn two_sockets() -> (UdpSocket, UdpSocket) {
    for _ in 0..50 {
        let own = socket("127.0.0.1:0").await;
        let port = own.local_addr().unwrap().port();
        if let Ok(seed) = UdpSocket::bind(("127.0.0.2", port)).await {
            return (own, seed);
        }
    }
    panic!("no port is free at two addresses");
}

#[tokio::test(start_paused = true)]
async fn starting_box_announces_itself_until_it_knows_a_domain_peer_and_the_state() {
    let (own, seed) = two_sockets().await;
    let state = state_with_seed(own, seed.local_addr().unwrap());
    announce(&state).await;
    seed.readable().await.unwrap();
    assert_eq!(
        count_datagrams(&seed),
        INITIAL_HEARTBEATS as usize,
        "no peer is known"
    );

    let heartbeat = BoxHeartbeat::new("a2", "a", seed.local_addr().unwrap());
    let receive = |sequence| {
        let heartbeat = heartbeat.clone().sequence(sequence);
        state.with(|view| {
            view.fleet
                .receive_heartbeat(heartbeat, Incarnation(1), now_ms())
        })
    };
    receive(1);
    announce(&state).await;
    seed.readable().await.unwrap();
    assert_eq!(
        count_datagrams(&seed),
        INITIAL_HEARTBEATS as usize,
        "the configuration and the endpoints are not known"
    );

    let config = RouteConfig {
        version: 1,
        ..RouteConfig::default()
    };
    state.apply_routes(config, "store");
    let removed = EndpointChange::Removed("e".to_owned(), StoreRevision::from(5));
    state.apply_endpoints(vec![removed], None, "store");
    receive(2);
    announce(&state).await;
    seed.readable().await.unwrap();
    assert_eq!(count_datagrams(&seed), 1, "nothing is missing");
}

#[tokio::test]
async fn heartbeat_is_answered_with_the_digest_for_the_senders_domain() {
    let (own, other) = two_sockets().await;
    let state = state_with_seed(own, other.local_addr().unwrap());
    let from = other.local_addr().unwrap();
    state.datagrams.writable().await.unwrap();
    let row = UsageRow {
        workspace: 7,
        requested: 30,
        requested_long: 30,
        admitted: 20,
    };
    for (name, domain, scope) in [
        ("a2", "a", DigestScope::SameDomain),
        ("b1", "b", DigestScope::Introduction),
    ] {
        let heartbeat = BoxHeartbeat::new(name, domain, from);
        receive_heartbeat(&state, from, heartbeat, Incarnation(1), &[row]);
        other.readable().await.unwrap();
        let mut buffer = [0; 2_000];
        let length = other.try_recv(&mut buffer).unwrap();
        let datagram = GatewayDatagram::decode(&buffer[..length]).unwrap();
        let GatewayMessage::Digest { digest, shares } = datagram.message else {
            panic!("expected a digest");
        };
        assert_eq!(digest.scope, scope);
        // The usage of another domain is reported by its own coordinators.
        let reported = if domain == "a" { vec![row] } else { Vec::new() };
        assert_eq!(shares, reported);
    }
}
