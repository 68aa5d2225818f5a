//! Compatibility with recorded messages: each is decoded, encoded again and compared byte for byte.
//!
//! A line of a `.json` file is a message, or what is decoded and the expected encoding, separated
//! by a tab. A line of `datagrams.hex` is the kind of a message and the bytes of its datagram. The
//! files are edited by hand: to add a message or to record an intended change of the format, copy
//! the encoding that the failed test prints. `recorded_values.rs` prints the lines of datagrams.

use dockgate_core::{ConfigEntry, FleetConfig};
use dockgate_proto::operator::{
    self, ConfirmReply, ConfirmRequest, HistoryRequest, PlanReply, PlanRequest, StaleDetail,
    StatusReply,
};
use dockgate_proto::{
    ConfigAnswer, ExchangeRequest, GatewayDatagram, HelloReply, HelloRequest, PeerMessage,
    QuarantineAnswer, QuarantineRequest, RefusalBody, RefusalCode, StateAnswer, StateRequest,
    methods,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use yare::parameterized;

/// Decodes a message and encodes it again.
fn reencoded<T: Serialize + DeserializeOwned>(line: &str) -> serde_json::Result<String> {
    serde_json::to_string(&serde_json::from_str::<T>(line)?)
}

#[parameterized(
    state_requests = { include_str!("recorded/state_request.json"), reencoded::<StateRequest> },
    state_answers = { include_str!("recorded/state_answer.json"), reencoded::<StateAnswer> },
    peer_messages = { include_str!("recorded/peer_message.json"), reencoded::<PeerMessage> },
    batches = { include_str!("recorded/exchange_request.json"), reencoded::<ExchangeRequest> },
    hello_requests = { include_str!("recorded/hello_request.json"), reencoded::<HelloRequest> },
    hello_replies = { include_str!("recorded/hello_reply.json"), reencoded::<HelloReply> },
    config_answers = { include_str!("recorded/config_answer.json"), reencoded::<ConfigAnswer> },
    fleet_configs = { include_str!("recorded/fleet_config.json"), reencoded::<FleetConfig> },
    plan_requests = { include_str!("recorded/plan_request.json"), reencoded::<PlanRequest> },
    plan_replies = { include_str!("recorded/plan_reply.json"), reencoded::<PlanReply> },
    confirm_requests = { include_str!("recorded/confirm_request.json"), reencoded::<ConfirmRequest> },
    confirm_replies = { include_str!("recorded/confirm_reply.json"), reencoded::<ConfirmReply> },
    stale_details = { include_str!("recorded/stale_detail.json"), reencoded::<StaleDetail> },
    history_requests = { include_str!("recorded/history_request.json"), reencoded::<HistoryRequest> },
    histories = { include_str!("recorded/history.json"), reencoded::<Vec<ConfigEntry>> },
    status_replies = { include_str!("recorded/status_reply.json"), reencoded::<StatusReply> },
    quarantine_requests = {
        include_str!("recorded/quarantine_request.json"), reencoded::<QuarantineRequest>
    },
    quarantine_answers = {
        include_str!("recorded/quarantine_answer.json"), reencoded::<QuarantineAnswer>
    },
    refusals = { include_str!("recorded/refusal_body.json"), reencoded::<RefusalBody> },
)]
fn messages_are_encoded_as_recorded(
    recorded: &str,
    reencoded: fn(&str) -> serde_json::Result<String>,
) {
    assert!(!recorded.is_empty());
    for line in recorded.lines() {
        let (input, expected) = line.split_once('\t').unwrap_or((line, line));
        assert_eq!(reencoded(input).expect(input), expected);
    }
}

#[test]
fn datagrams_are_encoded_as_recorded() {
    for line in include_str!("recorded/datagrams.hex").lines() {
        let (kind, hex) = line.split_once(' ').unwrap();
        let bytes = (0..hex.len()).step_by(2);
        let bytes: Vec<u8> = bytes
            .map(|at| u8::from_str_radix(&hex[at..at + 2], 16).unwrap())
            .collect();
        let datagram = GatewayDatagram::decode(&bytes).expect(line);
        assert_eq!(datagram.message.kind(), kind);
        assert_eq!(datagram.encode().unwrap(), bytes, "{line}");
    }
}

#[test]
fn refusals_are_recorded_for_each_code_with_its_status() {
    let recorded = include_str!("recorded/refusal_body.json");
    let statuses = RefusalCode::ALL.iter().map(|code| {
        let text = format!(r#"{{"code":"{}","#, code.as_str());
        assert!(recorded.contains(&text), "{text}");
        code.status().as_u16()
    });
    let statuses: Vec<u16> = statuses.collect();
    let expected = [
        401, 400, 413, 408, 404, 404, 404, 400, 429, 503, 503, 503, 502, 502,
    ];
    assert_eq!(statuses, expected);
}

#[test]
fn method_names_and_error_codes_are_unchanged() {
    let box_methods = [
        methods::HELLO,
        methods::EXCHANGE,
        methods::CONFIG,
        methods::STATE,
        methods::QUARANTINE,
    ];
    assert_eq!(box_methods, ["hello", "x", "config", "state", "quarantine"]);
    let operator_methods = [
        operator::PLAN,
        operator::CONFIRM,
        operator::SHOW,
        operator::HISTORY,
        operator::STATUS,
    ];
    assert_eq!(
        operator_methods,
        ["plan", "confirm", "show", "history", "status"]
    );
    let codes = [
        operator::codes::INVALID,
        operator::codes::STALE,
        operator::codes::UNKNOWN_PLAN,
        operator::codes::PLATFORM,
    ];
    assert_eq!(codes, [1001, 1002, 1003, 1004]);
}
