use super::*;
use crate::gateway::gateway_state::tests::state_with_seed;
use crate::gateway::run_guard::RunGuard;
use dockgate_core::gateway::{
    AnswerForm, EndpointChange, EndpointRecord, EndpointState, EngineSpec, LatencyLimits,
    PromptShape, RouteConfig, RouteSpec, ServiceSpec, ServiceWeight, SoftwareVersion,
    StoreRevision, StreamKey, StreamRecord,
};
use dockgate_core::{BoxKey, Incarnation};
use std::time::Duration;
use tokio::net::UdpSocket;

const RUN: u32 = 7;
const ENGINE: EngineSpec = EngineSpec {
    slots: 8,
    memory: 100_000,
};
const OWNER: BoxKey = BoxKey(2);

fn record() -> EndpointRecord {
    EndpointRecord {
        id: "e".to_owned(),
        started_ms: None,
        service: "model".to_owned(),
        address: "10.0.0.1:80".parse().unwrap(),
        domain: "a".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
        warmup_ms: 0,
        version: "v1".to_owned(),
    }
}

fn config() -> RouteConfig {
    let service = "model".to_owned();
    RouteConfig {
        version: 1,
        routes: vec![RouteSpec {
            name: "r".to_owned(),
            host: "h.example".to_owned(),
            prefix: "/".to_owned(),
            services: vec![ServiceWeight {
                service: service.clone(),
                weight: 1,
            }],
            repeatable: false,
            form: AnswerForm::Stream { resumable: true },
            attempts: 2,
            timeout: Duration::from_secs(4),
            objective: Duration::from_millis(500),
            pause: Duration::from_millis(500),
            priority: 1,
            public: true,
        }],
        services: vec![ServiceSpec {
            name: service,
            connections: 100,
            engine: Some(ENGINE),
            warmup: None,
        }],
        ..RouteConfig::default()
    }
}

/// Creates the state of a box that knows one engine, and the socket of the engine's owner.
async fn state_with_engine() -> (Arc<GatewayState>, UdpSocket) {
    let owner = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let datagrams = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    datagrams.writable().await.unwrap();
    let state = state_with_seed(datagrams, owner.local_addr().unwrap());
    state.apply_routes(config(), "test");
    let change = EndpointChange::Put(record(), StoreRevision::from(1));
    state.apply_endpoints(vec![change], None, "test");
    (Arc::new(state), owner)
}

fn request() -> AdmissionRequest {
    let prompt = PromptShape {
        input: 500,
        output: 20,
        ..PromptShape::default()
    };
    let limits = LatencyLimits {
        objective_ms: 300,
        shortest_objective_ms: 300,
        budget_ms: 15_000,
    };
    AdmissionRequest::new(1, &prompt, limits)
}

fn verdict(verdict: AdmissionVerdict, speed: PrefillSpeed) -> GatewayDatagram {
    GatewayDatagram {
        from: OWNER,
        incarnation: Incarnation(1),
        message: GatewayMessage::Verdict {
            run: RUN,
            endpoint: record().key(),
            verdict,
            backlog_ms: 0,
            speed,
        },
        evacuations: Vec::new(),
        rates: Vec::new(),
    }
}

/// An owner that no longer knows an engine has no speed to report.
#[tokio::test]
async fn owner_without_a_load_changes_no_speed() {
    let (state, owner) = state_with_engine().await;
    let endpoint = record().key();
    let from = owner.local_addr().unwrap();
    let speed = || {
        state.with(|view| {
            let load = view.engines.load_mut(endpoint, ENGINE);
            load.model().speed()
        })
    };
    let before = speed();
    let answer = verdict(AdmissionVerdict::Leaving, PrefillSpeed::UNKNOWN);
    handle(&state, from, answer);
    assert_eq!(speed(), before);
}

/// A box that decided alone keeps its run counted when the owner's grant arrives late.
#[tokio::test]
async fn late_grant_of_a_running_request_is_not_released() {
    let (state, owner) = state_with_engine().await;
    let from = owner.local_addr().unwrap();
    let speed = PrefillSpeed {
        fixed_us: 30_000,
        kilotoken_us: 25_000,
        megapair_us: 700,
    };
    let guard = RunGuard::new(&state, record().key(), RUN, OWNER, request());
    handle(&state, from, verdict(AdmissionVerdict::Granted(40), speed));
    tokio::time::sleep(Duration::from_millis(20)).await;
    let mut buffer = [0; 2_000];
    assert!(owner.try_recv_from(&mut buffer).is_err());
    drop(guard);
    handle(&state, from, verdict(AdmissionVerdict::Granted(40), speed));
    let received = tokio::time::timeout(Duration::from_secs(2), owner.recv_from(&mut buffer));
    let (length, _) = received.await.unwrap().unwrap();
    let released = GatewayDatagram::decode(&buffer[..length]).unwrap();
    assert_eq!(released.message.kind(), "ended");
}

/// Guards against streams that their writer does not know when it is asked, and against a box that
/// does not write them.
#[tokio::test]
async fn streams_to_store_are_known_and_written() {
    let (state, owner) = state_with_engine().await;
    let record = StreamRecord {
        key: StreamKey::new("captions", "model", "r1"),
        workspace: 7,
        version: SoftwareVersion::from_name("v1"),
        life_ms: 30_000,
    };
    let streams = vec![record];
    let message = GatewayMessage::StoreStreams { streams };
    let datagram = GatewayDatagram {
        message,
        ..verdict(AdmissionVerdict::Leaving, PrefillSpeed::UNKNOWN)
    };
    handle(&state, owner.local_addr().unwrap(), datagram);
    state.with(|view| {
        let known = view.streams.version(record.key, now_ms());
        assert_eq!(known, Some(record.version));
        assert_eq!(
            (view.stream_log.len(), view.stream_log.stored_count()),
            (1, 0)
        );
    });
}
