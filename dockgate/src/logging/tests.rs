use super::*;
use yare::parameterized;

/// Guards against renamed events and fields, which readers of logs rely on.
#[parameterized(
    routed = {
        LogEvent::Routed {
            request: "r", workspace: "w", pool: "p", endpoint: "e", scheduler: "b".to_owned(),
            grant: "g".to_owned(), attempt: 1, waited_ms: 2,
        },
        r#"{"event":"routed","request":"r","workspace":"w","pool":"p","endpoint":"e","scheduler":"b","grant":"g","attempt":1,"waited_ms":2}"#
    },
    ended = {
        LogEvent::Ended {
            request: "r", workspace: "w", outcome: "o", step: "s", cost: 3, took_ms: 4,
        },
        r#"{"event":"ended","request":"r","workspace":"w","outcome":"o","step":"s","cost":3,"took_ms":4}"#
    },
    granted = {
        LogEvent::Granted {
            grant: "g".to_owned(), pool: 1, workspace: 2, endpoint: 3, entry: "b".to_owned(),
        },
        r#"{"event":"granted","grant":"g","pool":1,"workspace":2,"endpoint":3,"entry":"b"}"#
    },
    pause_asked = {
        LogEvent::PauseAsked { grant: "g".to_owned(), entry: "b".to_owned() },
        r#"{"event":"pause_asked","grant":"g","entry":"b"}"#
    },
    configured = {
        LogEvent::Configured { version: 3, source: "s" },
        r#"{"event":"configured","version":3,"source":"s"}"#
    },
    owned = {
        LogEvent::Owned { endpoints: 4, boxes: 5 },
        r#"{"event":"owned","endpoints":4,"boxes":5}"#
    },
    link = {
        LogEvent::Link { peer: "b", up: true, reason: "r".to_owned() },
        r#"{"event":"link","peer":"b","up":true,"reason":"r"}"#
    },
    turned_away = {
        LogEvent::TurnedAway { door: "d", peer: "b".to_owned(), reason: "r" },
        r#"{"event":"turned_away","door":"d","peer":"b","reason":"r"}"#
    },
    ignored = {
        LogEvent::Ignored { step: "s", peer: "b".to_owned(), reason: "r" },
        r#"{"event":"ignored","step":"s","peer":"b","reason":"r"}"#
    },
    lifecycle = {
        LogEvent::Lifecycle { state: "s" },
        r#"{"event":"lifecycle","state":"s"}"#
    },
)]
fn events_are_serialized_as_recorded(event: LogEvent<'_>, recorded: &str) {
    assert_eq!(serde_json::to_string(&event).unwrap(), recorded);
}

#[test]
fn lines_are_serialized_as_recorded() {
    let line = |message: Option<String>, event: Option<&str>| LogLine {
        at_ms: 1,
        level: "INFO",
        name: "a1",
        module: message.as_ref().map(|_| "m"),
        message,
        event: event
            .map(|event| serde_json::value::RawValue::from_string(event.to_owned()).unwrap()),
    };
    let lines = [
        line(Some("text".to_owned()), None),
        line(None, Some(r#"{"event":"stopped"}"#)),
    ];
    let lines = lines.map(|line| serde_json::to_string(&line).unwrap());
    let recorded = [
        r#"{"at_ms":1,"level":"INFO","box":"a1","module":"m","message":"text"}"#,
        r#"{"at_ms":1,"level":"INFO","box":"a1","event":{"event":"stopped"}}"#,
    ];
    assert_eq!(lines, recorded);
}
