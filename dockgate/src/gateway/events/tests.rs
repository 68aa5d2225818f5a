use super::*;
use crate::gateway::settings::parse_settings;
use yare::parameterized;

/// Guards against renamed fields, which operators and `dockgatectl explain` rely on.
#[parameterized(
    sent = {
        GatewayEvent::Sent {
            request: "r", route: "x", workspace: "w", tokens: Some(40), endpoint: "e",
            version: "v1", after_event: Some(2), resumes: Some("q"), attempt: 1,
            expected_ms: Some(40), decided_by: "b", config: 3, config_age_ms: 10, revision: 7,
            endpoints_age_ms: 20,
        },
        "after_event attempt config config_age_ms decided_by endpoint endpoints_age_ms event \
         expected_ms request resumes revision route tokens version workspace"
    },
    send_failed = {
        GatewayEvent::SendFailed {
            request: "r",
            print: None, parts: Vec::new(), endpoint: "e", attempt: 1, ran: "unknown", problem: "p",
            expected_ms: None, took_ms: 5,
        },
        "attempt endpoint event expected_ms parts print problem ran request took_ms"
    },
    refused = {
        GatewayEvent::Refused {
            request: "r", route: "x", workspace: "w", tokens: None, status: 503,
            reason: "would_be_late",
            ran: "not_run", print: None, part: None, waited_ms: 4, retry_after_ms: Some(300), asked: &[], share: Some(0.4),
            config: 3, config_age_ms: 10, endpoints_age_ms: 20,
        },
        "asked config config_age_ms endpoints_age_ms event part print ran reason request \
         retry_after_ms route share status tokens waited_ms workspace"
    },
    answered = {
        GatewayEvent::Answered {
            request: "r", route: "x", endpoint: "e", status: 200, first_ms: 3, took_ms: 9,
            events: 4, attempts: 1,
        },
        "attempts endpoint event events first_ms request route status took_ms"
    },
    broken_off = {
        GatewayEvent::BrokenOff { request: "r", print: String::new(), endpoint: "e", events: 2, took_ms: 9, reason: "p" },
        "endpoint event events print reason request took_ms"
    },
    endpoint_ended = {
        GatewayEvent::EndpointEnded { endpoint: "e", under: &["p".to_owned()], parts: &["a".to_owned()] },
        "endpoint event parts under"
    },
    memory_short = {
        GatewayEvent::MemoryShort { used_kb: 62_000, resident_kb: Some(60_000) },
        "event resident_kb used_kb"
    },
    woke = { GatewayEvent::Woke { away_ms: 2_500 }, "away_ms event" },
    task_panicked = {
        GatewayEvent::TaskPanicked { task: "beats", problem: "p", again_ms: 50 },
        "again_ms event problem task"
    },
    request_quarantined = {
        GatewayEvent::RequestQuarantined { print: "p", kind: "part", endpoints: &["e".to_owned()], source: "own" },
        "endpoints event kind print source"
    },
    request_tried = {
        GatewayEvent::RequestTried { print: "p", kind: "part", trials: 1 },
        "event kind print trials"
    },
    request_released = {
        GatewayEvent::RequestReleased { print: "p", kind: "part", source: "completed" },
        "event kind print source"
    },
    caller_left = {
        GatewayEvent::CallerLeft {
            request: "r", route: "x", workspace: "w", stage: "sent", sends: 1, waited_ms: 300,
            lag_ms: 0,
        },
        "event lag_ms request route sends stage waited_ms workspace"
    },
    taken_up = {
        GatewayEvent::TakenUp {
            request: "r", resumes: Some("q"), origin: "peer", asked: 4, answered: 2,
            stored: Some("several"), versions: 1, took_ms: 3,
        },
        "answered asked event origin request resumes stored took_ms versions"
    },
    versions_exchanged = {
        GatewayEvent::VersionsExchanged { stored: Some(2), known: 1, outcome: "written" },
        "event known outcome stored"
    },
    resumed = {
        GatewayEvent::Resumed {
            request: "r", lost: "d", began_at: "v1", endpoint: "e", version: "v1", after_event: 2, problem: "p" },
        "after_event began_at endpoint event lost problem request version"
    },
    event_rejected = {
        GatewayEvent::EventRejected {
            request: "r", endpoint: "e", fault: "gap", id: Some(7), after_event: Some(2) },
        "after_event endpoint event fault id request"
    },
    routes = {
        GatewayEvent::RoutesInForce {
            old: 1, version: 2, source: "store", routes: 3, workspaces: 4,
        },
        "event old routes source version workspaces"
    },
    overloaded = { GatewayEvent::Overloaded { lag_ms: 300 }, "event lag_ms" },
    caught_up = { GatewayEvent::CaughtUp { lag_ms: 3, for_ms: 4_000 }, "event for_ms lag_ms" },
    domain_cut = { GatewayEvent::DomainCut { domain: "a" }, "domain event" },
    domain_back = { GatewayEvent::DomainBack { domain: "a", for_ms: 900 }, "domain event for_ms" },
    held_back = { GatewayEvent::LinesHeldBack { count: 3 }, "count event" },
    engine_weight = {
        GatewayEvent::EngineWeight { endpoint: "e", from: 1.0, to: 0.5 },
        "endpoint event from to"
    },
    store_back = {
        GatewayEvent::StoreBack { step: "op", away_ms: 4 },
        "away_ms event step"
    },
)]
fn events_have_the_expected_fields(event: GatewayEvent<'_>, fields: &str) {
    let value = serde_json::to_value(&event).unwrap();
    let names: Vec<&String> = value.as_object().unwrap().keys().collect();
    let expected: Vec<&str> = fields.split_whitespace().collect();
    assert_eq!(names, expected);
}

/// Returns an event of each kind, and two of those with optional fields.
fn recorded_events(settings: &GatewaySettings) -> Vec<GatewayEvent<'_>> {
    vec![
        GatewayEvent::Started { settings },
        GatewayEvent::Woke { away_ms: 2_500 },
        GatewayEvent::TaskPanicked {
            task: "t",
            problem: "p",
            again_ms: 50,
        },
        GatewayEvent::Stopping { open: 3 },
        GatewayEvent::Cut {
            request: "r",
            route: "x",
            workspace: "w",
            stage: "sent",
            sends: 1,
            after_stop_ms: Some(4_300),
            predicted_ms: 2_000,
            waited_ms: 3_200,
        },
        GatewayEvent::Stopped {
            in_time: true,
            cut: 4,
        },
        GatewayEvent::Reloaded {
            signal: true,
            changed: false,
            problem: None,
        },
        GatewayEvent::Reloaded {
            signal: false,
            changed: true,
            problem: Some("p"),
        },
        GatewayEvent::RoutesInForce {
            old: 1,
            version: 2,
            source: "store",
            routes: 3,
            workspaces: 4,
        },
        GatewayEvent::Unreadable {
            what: "w",
            problem: "p".to_owned(),
        },
        GatewayEvent::EndpointReady {
            endpoint: "e",
            born_ms: Some(1),
            service: "s",
            domain: "d",
            version: "v1",
            revision: 2,
            source: "store",
        },
        GatewayEvent::EndpointReady {
            endpoint: "e",
            born_ms: None,
            service: "s",
            domain: "d",
            version: "v1",
            revision: 2,
            source: "store",
        },
        GatewayEvent::EndpointDraining {
            endpoint: "e",
            revision: 2,
            source: "store",
        },
        GatewayEvent::EndpointUnusable {
            endpoint: "e",
            revision: 2,
            source: "store",
        },
        GatewayEvent::EndpointLeaves {
            endpoint: "e",
            request: "r",
        },
        GatewayEvent::EndpointRests {
            endpoint: "e",
            request: "r",
            for_ms: 5,
        },
        GatewayEvent::EndpointGone {
            endpoint: "e",
            source: "store",
        },
        GatewayEvent::EndpointsListed {
            count: 1,
            revision: 2,
            source: "store",
        },
        GatewayEvent::StreamsLoaded {
            streams: 2,
            unreadable: 1,
            revision: 3,
        },
        GatewayEvent::StateUnanswered {
            peer: "b",
            what: "w",
            took_ms: 1,
            problem: "p".to_owned(),
        },
        GatewayEvent::StoreLost {
            step: "op",
            problem: "p".to_owned(),
        },
        GatewayEvent::StoreBack {
            step: "op",
            away_ms: 4,
        },
        GatewayEvent::StoreEra {
            from: 1,
            to: 2,
            revision: 3,
            source: "store",
        },
        GatewayEvent::StoreHistoryLost {
            what: "w",
            since: 1,
        },
        GatewayEvent::Overloaded { lag_ms: 300 },
        GatewayEvent::CaughtUp {
            lag_ms: 3,
            for_ms: 4_000,
        },
        GatewayEvent::BoxSeen {
            peer: "b",
            domain: "d",
        },
        GatewayEvent::BoxGone { peer: "b" },
        GatewayEvent::DomainCut { domain: "d" },
        GatewayEvent::DomainBack {
            domain: "d",
            for_ms: 900,
        },
        GatewayEvent::DomainEvacuated {
            domain: "d",
            revision: 2,
            source: "store",
        },
        GatewayEvent::EvacuationTakenBack {
            domain: "d",
            revision: 3,
            source: "box",
        },
        GatewayEvent::Shares {
            told_ms: Some(1),
            workspaces: &[],
        },
        GatewayEvent::Shares {
            told_ms: None,
            workspaces: &[],
        },
        GatewayEvent::LinesHeldBack { count: 3 },
        GatewayEvent::Sent {
            request: "r",
            route: "x",
            workspace: "w",
            tokens: Some(40),
            endpoint: "e",
            version: "v1",
            after_event: Some(2),
            resumes: Some("q"),
            attempt: 1,
            expected_ms: None,
            decided_by: "b",
            config: 3,
            config_age_ms: 10,
            revision: 7,
            endpoints_age_ms: 20,
        },
        GatewayEvent::EndpointEnded {
            endpoint: "e",
            under: &[],
            parts: &[],
        },
        GatewayEvent::RequestQuarantined {
            print: "p",
            kind: "part",
            endpoints: &[],
            source: "own",
        },
        GatewayEvent::RequestTried {
            print: "p",
            kind: "part",
            trials: 1,
        },
        GatewayEvent::RequestReleased {
            print: "p",
            kind: "part",
            source: "completed",
        },
        GatewayEvent::SendFailed {
            request: "r",
            print: Some("p".to_owned()),
            parts: vec!["5c1e".to_owned()],
            endpoint: "e",
            attempt: 1,
            ran: "unknown",
            problem: "p",
            expected_ms: Some(6),
            took_ms: 5,
        },
        GatewayEvent::Resumed {
            request: "r",
            lost: "d",
            began_at: "v1",
            endpoint: "e",
            version: "v1",
            after_event: 2,
            problem: "p",
        },
        GatewayEvent::EventRejected {
            request: "r",
            endpoint: "e",
            fault: "gap",
            id: Some(7),
            after_event: Some(2),
        },
        GatewayEvent::TakenUp {
            request: "r",
            resumes: Some("q"),
            origin: "peer",
            asked: 4,
            answered: 2,
            stored: Some("several"),
            versions: 1,
            took_ms: 3,
        },
        GatewayEvent::VersionsExchanged {
            stored: Some(2),
            known: 1,
            outcome: "written",
        },
        GatewayEvent::Refused {
            request: "r",
            route: "x",
            workspace: "w",
            tokens: None,
            status: 503,
            reason: "would_be_late",
            ran: "not_run",
            print: Some("p".to_owned()),
            part: Some("5c1e"),
            waited_ms: 4,
            retry_after_ms: None,
            asked: &[],
            share: Some(0.5),
            config: 3,
            config_age_ms: 10,
            endpoints_age_ms: 20,
        },
        GatewayEvent::Answered {
            request: "r",
            route: "x",
            endpoint: "e",
            status: 200,
            first_ms: 3,
            took_ms: 9,
            events: 4,
            attempts: 1,
        },
        GatewayEvent::CallerLeft {
            request: "r",
            route: "x",
            workspace: "w",
            stage: "sent",
            sends: 1,
            waited_ms: 300,
            lag_ms: 2,
        },
        GatewayEvent::BrokenOff {
            request: "r",
            print: "p".to_owned(),
            endpoint: "e",
            events: 2,
            took_ms: 9,
            reason: "q",
        },
    ]
}

/// Guards against renamed events and fields, which readers of logs rely on. To record an intended
/// change, edit `recorded.json`.
#[test]
fn events_are_serialized_as_recorded() {
    let text = "[box]\nname = a1\ndomain = a\n[listen]\ncallers = 10.0.0.1:80\nreadiness = 10.0.0.1:81\n\
                state = 10.0.0.1:82\npeers = 10.0.0.1:83\nmetrics = 10.0.0.1:84\n[platform]\n\
                store = 10.0.0.9:80\n[gateway]\nseeds = 10.0.0.2:82\n";
    let settings = parse_settings("f.ini", text).unwrap();
    let events = recorded_events(&settings);
    let lines = events
        .iter()
        .map(|event| serde_json::to_string(event).unwrap());
    let recorded: Vec<&str> = include_str!("recorded.json").lines().collect();
    assert_eq!(lines.collect::<Vec<_>>(), recorded);
}

#[test]
fn declined_engines_are_serialized_as_recorded() {
    let engine = DeclinedEngine {
        endpoint: "e".to_owned(),
        first_event_ms: 900,
        decided_by: "b".to_owned(),
    };
    let recorded = r#"{"endpoint":"e","first_event_ms":900,"decided_by":"b"}"#;
    assert_eq!(serde_json::to_string(&engine).unwrap(), recorded);
}
