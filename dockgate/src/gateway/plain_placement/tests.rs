use super::*;
use crate::gateway::gateway_state::tests::state_with_seed;
use dockgate_core::gateway::{EndpointChange, EndpointRecord, EndpointState, StoreRevision};
use tokio::net::UdpSocket;

const SLOTS: u32 = 4;

fn record(state: EndpointState) -> EndpointRecord {
    EndpointRecord {
        id: "e".to_owned(),
        started_ms: None,
        service: "plain".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: SLOTS,
        state,
        warmup_ms: 0,
        version: "v1".to_owned(),
    }
}

async fn state() -> Arc<GatewayState> {
    let datagrams = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let own = datagrams.local_addr().unwrap();
    Arc::new(state_with_seed(datagrams, own))
}

fn write(state: &GatewayState, written: EndpointState, revision: u64) {
    let change = EndpointChange::Put(record(written), StoreRevision::from(revision));
    state.apply_endpoints(vec![change], None, "store");
}

#[tokio::test]
async fn placed_requests_are_counted_until_their_guards_are_dropped() {
    let state = state().await;
    write(&state, EndpointState::Ready, 1);
    let endpoint = record(EndpointState::Ready).key();
    let time_left = Duration::from_secs(1);
    let mut placed = Vec::new();
    let declined = loop {
        match request_plain_placement(&state, endpoint, time_left).await {
            Ok(placement) => placed.push(placement),
            Err(decline) => break decline,
        }
    };
    assert_eq!(declined, PlainDecline::Full(0));
    assert!(placed.len() >= SLOTS as usize && placed.len() < 2 * SLOTS as usize);
    placed.pop();
    assert!(
        request_plain_placement(&state, endpoint, time_left)
            .await
            .is_ok()
    );
}

/// A box that learns late that an endpoint leaves asks its owner, which knows.
#[tokio::test]
async fn owner_declines_for_an_endpoint_that_leaves() {
    let state = state().await;
    let endpoint = record(EndpointState::Ready).key();
    let request = plain_request(Duration::from_secs(1));
    let decide = |number| decide_plain(&state, endpoint, state.run_key(number), &request);
    assert_eq!(decide(0), None);
    write(&state, EndpointState::Ready, 1);
    assert_eq!(decide(1), Some(AdmissionVerdict::Granted(0)));
    write(&state, EndpointState::Draining, 2);
    assert_eq!(decide(2), Some(AdmissionVerdict::Leaving));
    let removed = EndpointChange::Removed("e".to_owned(), StoreRevision::from(3));
    state.apply_endpoints(vec![removed], None, "store");
    assert_eq!(decide(3), Some(AdmissionVerdict::Leaving));
}
