//! Messages as an earlier build wrote them: each is read, written again and compared byte for byte.
//!
//! A line of a `.json` file is a message; where a tab stands in it, what is read stands before and what is written
//! again behind. A line of `datagrams.hex` is the kind of a message and the bytes of its datagram. To add a message or
//! to record a form that was changed on purpose, edit its line by hand: a test that fails prints what is written now.
//! Nothing rewrites the files; `recorded_values.rs` prints those of datagrams.

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

/// Reads a message and writes it again.
fn rewritten<T: Serialize + DeserializeOwned>(line: &str) -> serde_json::Result<String> {
    serde_json::to_string(&serde_json::from_str::<T>(line)?)
}

#[parameterized(
    state_requests = { include_str!("recorded/state_request.json"), rewritten::<StateRequest> },
    state_answers = { include_str!("recorded/state_answer.json"), rewritten::<StateAnswer> },
    peer_messages = { include_str!("recorded/peer_message.json"), rewritten::<PeerMessage> },
    batches = { include_str!("recorded/exchange_request.json"), rewritten::<ExchangeRequest> },
    hello_requests = { include_str!("recorded/hello_request.json"), rewritten::<HelloRequest> },
    hello_replies = { include_str!("recorded/hello_reply.json"), rewritten::<HelloReply> },
    config_answers = { include_str!("recorded/config_answer.json"), rewritten::<ConfigAnswer> },
    fleet_configs = { include_str!("recorded/fleet_config.json"), rewritten::<FleetConfig> },
    plan_requests = { include_str!("recorded/plan_request.json"), rewritten::<PlanRequest> },
    plan_replies = { include_str!("recorded/plan_reply.json"), rewritten::<PlanReply> },
    confirm_requests = { include_str!("recorded/confirm_request.json"), rewritten::<ConfirmRequest> },
    confirm_replies = { include_str!("recorded/confirm_reply.json"), rewritten::<ConfirmReply> },
    stale_details = { include_str!("recorded/stale_detail.json"), rewritten::<StaleDetail> },
    history_requests = { include_str!("recorded/history_request.json"), rewritten::<HistoryRequest> },
    histories = { include_str!("recorded/history.json"), rewritten::<Vec<ConfigEntry>> },
    status_replies = { include_str!("recorded/status_reply.json"), rewritten::<StatusReply> },
    quarantine_requests = {
        include_str!("recorded/quarantine_request.json"), rewritten::<QuarantineRequest>
    },
    quarantine_answers = {
        include_str!("recorded/quarantine_answer.json"), rewritten::<QuarantineAnswer>
    },
    refusals = { include_str!("recorded/refusal_body.json"), rewritten::<RefusalBody> },
)]
fn recorded_messages_are_read_and_written_alike(
    recorded: &str,
    rewritten: fn(&str) -> serde_json::Result<String>,
) {
    assert!(!recorded.is_empty());
    for line in recorded.lines() {
        let (read, written) = line.split_once('\t').unwrap_or((line, line));
        assert_eq!(rewritten(read).expect(read), written);
    }
}

#[test]
fn recorded_datagrams_are_read_and_written_alike() {
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
fn recorded_refusals_have_each_code_and_its_status() {
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
fn names_of_methods_and_error_codes_are_as_recorded() {
    let between_boxes = [
        methods::HELLO,
        methods::EXCHANGE,
        methods::CONFIG,
        methods::STATE,
        methods::QUARANTINE,
    ];
    assert_eq!(
        between_boxes,
        ["hello", "x", "config", "state", "quarantine"]
    );
    let of_operators = [
        operator::PLAN,
        operator::CONFIRM,
        operator::SHOW,
        operator::HISTORY,
        operator::STATUS,
    ];
    assert_eq!(
        of_operators,
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
