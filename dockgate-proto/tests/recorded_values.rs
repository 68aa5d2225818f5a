//! Compatibility of datagrams by value: what each field holds in the recorded bytes.
//!
//! Guards against fields that change places, which decoding and encoding alone would not show, as
//! datagrams carry no names. To update the recorded file, run
//! `cargo test -p dockgate-proto --test recorded_values -- --ignored --nocapture` and copy the
//! lines that it prints into `recorded/datagrams.hex`.

use dockgate_core::gateway::{
    AdmissionRequest, AdmissionVerdict, BoxHeartbeat, BoxReport, BoxStatus, BoxSummary,
    DigestScope, EndpointId, FleetDigest, PrefillSpeed, PromptPart, QuarantineStage, ShareLevel,
    SoftwareVersion, StoreRevision, StreamKey, StreamRecord, SuspectEvent, SuspectKey,
    SuspectReport, UsageRow, WaitTerms,
};
use dockgate_core::{BoxKey, Incarnation};
use dockgate_proto::{GatewayDatagram, GatewayMessage, StreamOrigin};

const ENDPOINT: EndpointId = EndpointId(0x0123_4567_89ab_cdef);
const RUN: u32 = 300;

fn status() -> BoxStatus {
    BoxStatus {
        processor: 750,
        leaving: true,
        behind: false,
        reaches_store: true,
        store_proof_age_ms: 401,
    }
}

fn heartbeat() -> BoxHeartbeat {
    BoxHeartbeat {
        name: "a1".to_owned(),
        domain: "hall-a".to_owned(),
        address: "10.0.0.1:7400".parse().unwrap(),
        state_address: "[fd00::1]:7401".parse().unwrap(),
        status: status(),
        sequence: 12,
        config_version: 34,
        endpoint_revision: StoreRevision {
            era: 2,
            number: 5_678,
        },
    }
}

fn first_heartbeat() -> BoxHeartbeat {
    BoxHeartbeat {
        name: "b2".to_owned(),
        domain: "hall-b".to_owned(),
        address: "10.0.0.2:7400".parse().unwrap(),
        state_address: "10.0.0.2:7403".parse().unwrap(),
        status: BoxStatus {
            processor: 1_000,
            leaving: false,
            behind: true,
            reaches_store: false,
            store_proof_age_ms: 0,
        },
        sequence: 1,
        config_version: 0,
        endpoint_revision: StoreRevision { era: 0, number: 0 },
    }
}

fn shares() -> Vec<UsageRow> {
    let row = |workspace, requested, requested_long, admitted| UsageRow {
        workspace,
        requested,
        requested_long,
        admitted,
    };
    vec![row(0xfeed_0000_0000_0001, 200, 3_000, 40), row(2, 5, 6, 7)]
}

fn digest(scope: DigestScope, is_full: bool) -> GatewayMessage {
    let row = |number: u32, address: Option<&str>| BoxSummary {
        key: BoxKey(0x1000_0000 + number),
        incarnation: Incarnation(20 + number),
        sequence: 30 + number,
        age_ms: 400 + number,
        address: address.map(|address| address.parse().unwrap()),
        status: status(),
    };
    let report = BoxReport {
        incarnation: Incarnation(77),
        age_ms: 88,
        heartbeat: first_heartbeat(),
    };
    let digest = FleetDigest {
        scope,
        sender: heartbeat(),
        coordinators: vec![report; usize::from(is_full)],
        members: match is_full {
            true => vec![row(1, Some("10.0.0.3:7400")), row(2, None)],
            false => Vec::new(),
        },
        live: 299,
        known: 301,
    };
    let shares = if is_full { shares() } else { Vec::new() };
    GatewayMessage::Digest { digest, shares }
}

fn request() -> AdmissionRequest {
    AdmissionRequest {
        workspace: 0xabcd,
        objective_ms: 501,
        shortest_objective_ms: 402,
        budget_ms: 3_003,
        level: ShareLevel::new(1.5).with_fair_ratio(0.5),
        input: 1_210,
        output: 60,
        parts: parts(),
    }
}

fn request_without_parts() -> AdmissionRequest {
    AdmissionRequest {
        level: ShareLevel::WITHIN,
        parts: Vec::new(),
        ..request()
    }
}

fn parts() -> Vec<PromptPart> {
    let part = |id, tokens| PromptPart { id, tokens };
    vec![part(7, 800), part(0x9999_0000_0000_0009, 410)]
}

fn verdict(verdict: AdmissionVerdict) -> GatewayMessage {
    GatewayMessage::Verdict {
        run: RUN,
        endpoint: ENDPOINT,
        verdict,
        backlog_ms: 45,
        speed: PrefillSpeed {
            fixed_us: 6_000,
            kilotoken_us: 70_000,
            megapair_us: 8_000,
        },
    }
}

fn suspect(number: u8, event: SuspectEvent) -> SuspectReport {
    SuspectReport {
        fingerprint: SuspectKey::new([number; 16]),
        event,
        age_ms: 1_000 + u32::from(number),
    }
}

fn messages() -> Vec<GatewayMessage> {
    let (run, endpoint) = (RUN, ENDPOINT);
    let stage = QuarantineStage {
        verdict: 2,
        released: true,
        trials: 3,
    };
    vec![
        GatewayMessage::Heartbeat {
            heartbeat: heartbeat(),
            shares: shares(),
        },
        GatewayMessage::Heartbeat {
            heartbeat: first_heartbeat(),
            shares: Vec::new(),
        },
        digest(DigestScope::SameDomain, true),
        digest(DigestScope::OtherDomain, false),
        digest(DigestScope::OtherDomainFull, true),
        digest(DigestScope::Introduction, false),
        GatewayMessage::SlotRequest {
            run,
            endpoint,
            request: request(),
        },
        GatewayMessage::SlotRequest {
            run,
            endpoint,
            request: request_without_parts(),
        },
        verdict(AdmissionVerdict::Granted(123)),
        verdict(AdmissionVerdict::Declined(4_567)),
        verdict(AdmissionVerdict::Leaving),
        GatewayMessage::Placed {
            run,
            endpoint,
            request: request(),
            started: true,
        },
        GatewayMessage::Placed {
            run,
            endpoint,
            request: request_without_parts(),
            started: false,
        },
        GatewayMessage::PartsRead {
            endpoint,
            parts: parts(),
        },
        GatewayMessage::PartsRead {
            endpoint,
            parts: Vec::new(),
        },
        GatewayMessage::Started { run, endpoint },
        GatewayMessage::Ended { run, endpoint },
        GatewayMessage::EndpointLeaving { endpoint },
        GatewayMessage::Suspects { rows: Vec::new() },
        GatewayMessage::Suspects {
            rows: vec![
                suspect(1, SuspectEvent::Ended(endpoint)),
                suspect(2, SuspectEvent::Completed),
                suspect(3, SuspectEvent::Quarantine(stage)),
            ],
        },
        GatewayMessage::WaitRequest {
            run,
            endpoint,
            request: request(),
            terms: WaitTerms {
                priority: 2,
                wait_ms: 130,
            },
        },
        GatewayMessage::StreamsBegan {
            streams: vec![StreamRecord {
                key: StreamKey::new("captions", "model", "r1"),
                workspace: 9,
                version: SoftwareVersion::from_name("v1"),
                life_ms: 30_000,
            }],
        },
        GatewayMessage::StreamQuery {
            query: 6,
            stream: Some(StreamKey::new("captions", "model", "r1")),
            service: 7,
            within_ms: 30_000,
        },
        GatewayMessage::StreamQuery {
            query: 6,
            stream: None,
            service: 7,
            within_ms: 0,
        },
        GatewayMessage::StreamOrigin {
            query: 6,
            origin: StreamOrigin::Known(SoftwareVersion::from_name("v1")),
        },
        GatewayMessage::StreamOrigin {
            query: 6,
            origin: StreamOrigin::OnlyVersion(SoftwareVersion::from_name("v2")),
        },
        GatewayMessage::StreamOrigin {
            query: 6,
            origin: StreamOrigin::Unknown,
        },
        GatewayMessage::StreamOrigin {
            query: 6,
            origin: StreamOrigin::SeveralVersions,
        },
        GatewayMessage::PartSuspects {
            rows: vec![suspect(4, SuspectEvent::Ended(endpoint))],
        },
        GatewayMessage::StoreStreams {
            streams: vec![StreamRecord {
                key: StreamKey::new("captions", "model", "r1"),
                workspace: 9,
                version: SoftwareVersion::from_name("v1"),
                life_ms: 30_000,
            }],
        },
    ]
}

/// Returns the lines of the recorded file for all messages.
fn lines() -> String {
    let lines = messages().into_iter().map(|message| {
        let kind = message.kind();
        let datagram = GatewayDatagram {
            from: BoxKey(0xc0de_0001),
            incarnation: Incarnation(7),
            message,
            evacuations: Vec::new(),
            rates: Vec::new(),
        };
        let bytes = datagram.encode().unwrap();
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{kind} {hex}\n")
    });
    lines.collect()
}

#[test]
fn datagram_fields_are_encoded_as_recorded() {
    assert_eq!(lines(), include_str!("recorded/datagrams.hex"));
}

#[test]
#[ignore = "prints the lines for datagrams.hex"]
fn print_datagrams() {
    print!("{}", lines());
}
