//! Datagrams by value: what each field of a message holds in the recorded bytes.
//!
//! Datagrams carry no names, so that reading and writing alone would not notice two fields that changed places. To
//! record anew, run `cargo test -p dockgate-proto --test recorded_values -- --ignored --nocapture` and copy the lines
//! that it prints into `recorded/datagrams.hex`; nothing writes that file by itself.

use dockgate_core::gateway::{
    BoxBeat, BoxReport, BoxRow, BoxStanding, DigestScope, EndpointId, EngineAsk, EngineVerdict,
    FleetDigest, PromptPart, QuarantineStage, ReadSpeed, RequestPrint, ShareLevel, ShareRow,
    StoreRevision, SuspectRow, SuspectSign,
};
use dockgate_core::{BoxKey, Incarnation};
use dockgate_proto::{GatewayDatagram, GatewayMessage};

const ENDPOINT: EndpointId = EndpointId(0x0123_4567_89ab_cdef);
const RUN: u32 = 300;

fn standing() -> BoxStanding {
    BoxStanding {
        processor: 750,
        leaving: true,
        behind: false,
        reaches_store: true,
        store_age_ms: 401,
    }
}

fn beat() -> BoxBeat {
    BoxBeat {
        name: "a1".to_owned(),
        domain: "hall-a".to_owned(),
        address: "10.0.0.1:7400".parse().unwrap(),
        state_address: "[fd00::1]:7401".parse().unwrap(),
        standing: standing(),
        sequence: 12,
        config_version: 34,
        endpoint_revision: StoreRevision {
            era: 2,
            number: 5_678,
        },
    }
}

fn first_beat() -> BoxBeat {
    BoxBeat {
        name: "b2".to_owned(),
        domain: "hall-b".to_owned(),
        address: "10.0.0.2:7400".parse().unwrap(),
        state_address: "10.0.0.2:7403".parse().unwrap(),
        standing: BoxStanding {
            processor: 1_000,
            leaving: false,
            behind: true,
            reaches_store: false,
            store_age_ms: 0,
        },
        sequence: 1,
        config_version: 0,
        endpoint_revision: StoreRevision { era: 0, number: 0 },
    }
}

fn shares() -> Vec<ShareRow> {
    let row = |workspace, asked, asked_long, given| ShareRow {
        workspace,
        asked,
        asked_long,
        given,
    };
    vec![row(0xfeed_0000_0000_0001, 200, 3_000, 40), row(2, 5, 6, 7)]
}

fn digest(scope: DigestScope, is_full: bool) -> GatewayMessage {
    let row = |number: u32, address: Option<&str>| BoxRow {
        key: BoxKey(0x1000_0000 + number),
        incarnation: Incarnation(20 + number),
        sequence: 30 + number,
        age_ms: 400 + number,
        address: address.map(|address| address.parse().unwrap()),
        standing: standing(),
    };
    let report = BoxReport {
        incarnation: Incarnation(77),
        age_ms: 88,
        beat: first_beat(),
    };
    let digest = FleetDigest {
        scope,
        sender: beat(),
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

fn ask() -> EngineAsk {
    EngineAsk {
        workspace: 0xabcd,
        objective_ms: 501,
        shortest_ms: 402,
        budget_ms: 3_003,
        level: ShareLevel::new(1.5).taken(0.5),
        input: 1_210,
        output: 60,
        parts: parts(),
    }
}

fn ask_without_parts() -> EngineAsk {
    EngineAsk {
        level: ShareLevel::WITHIN,
        parts: Vec::new(),
        ..ask()
    }
}

fn parts() -> Vec<PromptPart> {
    let part = |id, tokens| PromptPart { id, tokens };
    vec![part(7, 800), part(0x9999_0000_0000_0009, 410)]
}

fn verdict(verdict: EngineVerdict) -> GatewayMessage {
    GatewayMessage::Verdict {
        run: RUN,
        endpoint: ENDPOINT,
        verdict,
        backlog_ms: 45,
        speed: ReadSpeed {
            fixed_us: 6_000,
            kilotoken_us: 70_000,
            megapair_us: 8_000,
        },
    }
}

fn suspect(number: u8, sign: SuspectSign) -> SuspectRow {
    SuspectRow {
        print: RequestPrint::new([number; 16]),
        sign,
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
        GatewayMessage::Beat {
            beat: beat(),
            shares: shares(),
        },
        GatewayMessage::Beat {
            beat: first_beat(),
            shares: Vec::new(),
        },
        digest(DigestScope::Near, true),
        digest(DigestScope::Far, false),
        digest(DigestScope::FarList, true),
        digest(DigestScope::Welcome, false),
        GatewayMessage::Seek {
            run,
            endpoint,
            ask: ask(),
        },
        GatewayMessage::Seek {
            run,
            endpoint,
            ask: ask_without_parts(),
        },
        verdict(EngineVerdict::Granted(123)),
        verdict(EngineVerdict::Declined(4_567)),
        verdict(EngineVerdict::Leaving),
        GatewayMessage::Placed {
            run,
            endpoint,
            ask: ask(),
            started: true,
        },
        GatewayMessage::Placed {
            run,
            endpoint,
            ask: ask_without_parts(),
            started: false,
        },
        GatewayMessage::Read {
            endpoint,
            parts: parts(),
        },
        GatewayMessage::Read {
            endpoint,
            parts: Vec::new(),
        },
        GatewayMessage::Started { run, endpoint },
        GatewayMessage::Ended { run, endpoint },
        GatewayMessage::Leaves { endpoint },
        GatewayMessage::Suspects { rows: Vec::new() },
        GatewayMessage::Suspects {
            rows: vec![
                suspect(1, SuspectSign::Ended(endpoint)),
                suspect(2, SuspectSign::Completed),
                suspect(3, SuspectSign::Quarantine(stage)),
            ],
        },
    ]
}

/// Writes the datagram of each message as a line of the recorded file.
fn lines() -> String {
    let lines = messages().into_iter().map(|message| {
        let kind = message.kind();
        let datagram = GatewayDatagram {
            from: BoxKey(0xc0de_0001),
            incarnation: Incarnation(7),
            message,
        };
        let bytes = datagram.encode().unwrap();
        let hex: String = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{kind} {hex}\n")
    });
    lines.collect()
}

#[test]
fn datagrams_hold_each_field_where_it_is_recorded() {
    assert_eq!(lines(), include_str!("recorded/datagrams.hex"));
}

#[test]
#[ignore = "prints the lines of datagrams.hex, to record them anew"]
fn print_datagrams() {
    print!("{}", lines());
}
