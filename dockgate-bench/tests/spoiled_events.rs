//! Streams in which an endpoint sends an event with a wrong byte.
//!
//! Guards against streams that lack a piece, or hold one twice, and end as complete.

use dockgate_bench::standin::caller::{all_events, call, request};
use dockgate_bench::standin::{ConnectionEnd, RawAnswer, RawEndpoints};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Incoming;
use yare::parameterized;

const EVENTS: u64 = 6;

/// How the events of an answer are sent.
#[derive(Debug, Clone, Copy)]
enum EventGrouping {
    /// All in one read.
    Together,
    /// Each in a read of its own.
    Apart,
}

fn events(ids: std::ops::RangeInclusive<u64>) -> String {
    ids.map(|id| format!("id: {id}\ndata: token {id}\n\n"))
        .collect()
}

/// Creates an answer with all of `text`, sent in one read or event by event.
fn answer(text: &str, grouping: EventGrouping, end: ConnectionEnd) -> RawAnswer {
    let parts: Vec<Vec<u8>> = match grouping {
        EventGrouping::Together => vec![text.into()],
        EventGrouping::Apart => text.split_inclusive("\n\n").map(Into::into).collect(),
    };
    RawAnswer::in_parts(parts, end)
}

/// Returns the text of a stream, and whether it ended as complete.
async fn received(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut received = Vec::new();
    let is_complete = loop {
        match body.frame().await {
            Some(Ok(frame)) => received.extend_from_slice(&frame.into_data().unwrap()),
            Some(Err(_)) => break false,
            None => break true,
        }
    };
    (String::from_utf8(received).unwrap(), is_complete)
}

/// Returns the events after which the endpoints were asked to continue.
fn continued_after(endpoints: &RawEndpoints) -> Vec<Option<String>> {
    let requests = endpoints.received().into_iter();
    requests.map(|request| request.last_event).collect()
}

/// Plays a resumable stream whose first endpoint sends `spoiled` for the events, and whose second
/// one continues after the last event before the spoiled one.
async fn assert_continued(spoiled: &str, sound: u64, grouping: EventGrouping) {
    let endpoints = RawEndpoints::new([
        answer(spoiled, grouping, ConnectionEnd::Close),
        answer(&events(sound + 1..=EVENTS), grouping, ConnectionEnd::Close),
    ]);
    let fleet = endpoints.start_with_box("model").await;
    let response = call(&fleet.gateways[0], request("/live/x", "r1", Some(EVENTS))).await;
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(received(response).await, (all_events(EVENTS), true));
    let after = (sound > 0).then(|| sound.to_string());
    assert_eq!(continued_after(&endpoints), [None, after]);
}

/// Guards against a piece that is lost with the read of a spoiled event, comes twice, or is skipped
/// as a repetition.
#[parameterized(
    wrong_id = { "id: 4\n", "id: 9\n", 3 },
    id_too_high = { "id: 4\n", "id: 5\n", 3 },
    id_too_low = { "id: 4\n", "id: 3\n", 3 },
    id_of_the_first = { "id: 4\n", "id: 1\n", 3 },
    no_number = { "id: 4\n", "id: x\n", 3 },
    no_value = { "id: 4\n", "id: \n", 3 },
    name_of_the_id = { "id: 4\n", "xd: 4\n", 3 },
    colon_of_the_id = { "id: 4\n", "id; 4\n", 3 },
    name_of_the_data = { "data: token 4\n", "dxta: token 4\n", 3 },
    empty_line = { "token 4\n\nid: 5", "token 4\nxid: 5", 3 },
    line_before_the_empty_one = { "token 4\n\nid: 5", "token 4x\nid: 5", 3 },
    empty_line_within = { "id: 4\ndata", "id: 4\n\nata", 3 },
    last_id_too_low = { "id: 6\n", "id: 5\n", 5 },
    last_id_too_high = { "id: 6\n", "id: 8\n", 5 },
    last_id_no_number = { "id: 6\n", "id: x\n", 5 },
    first_id_too_high = { "id: 1\n", "id: 7\n", 0 },
    first_id_too_low = { "id: 1\n", "id: 0\n", 0 },
    first_id_no_number = { "id: 1\n", "id: x\n", 0 },
)]
#[test_macro(tokio::test)]
async fn stream_with_a_spoiled_event_has_each_piece_once(right: &str, wrong: &str, sound: u64) {
    let spoiled = all_events(EVENTS).replacen(right, wrong, 1);
    assert_ne!(spoiled, all_events(EVENTS));
    assert_continued(&spoiled, sound, EventGrouping::Together).await;
    assert_continued(&spoiled, sound, EventGrouping::Apart).await;
}

/// Guards against losing the events that arrive in one read with an event that is too long.
#[tokio::test]
async fn events_before_one_that_is_too_long_are_forwarded() {
    let long = format!("id: 4\ndata: {}", "x".repeat(70_000));
    let spoiled = events(1..=3) + &long;
    assert_continued(&spoiled, 3, EventGrouping::Together).await;
}

/// Guards against a stream that ends as complete although the endpoint that continues it sends a
/// spoiled event, and no further endpoint may be asked.
#[parameterized(
    only_event_repeated = { 5, "id: 5\ndata: token 6\n\n" },
    first_event_repeated = { 4, "id: 4\ndata: token 5\n\nid: 6\ndata: token 6\n\n" },
    first_event_too_high = { 4, "id: 7\ndata: token 5\n\nid: 6\ndata: token 6\n\n" },
)]
#[test_macro(tokio::test)]
async fn spoiled_continuation_does_not_end_as_complete(sound: u64, continued: &str) {
    let endpoints = RawEndpoints::new([
        RawAnswer::new(events(1..=sound), ConnectionEnd::Reset),
        RawAnswer::new(continued, ConnectionEnd::Close),
    ]);
    let fleet = endpoints.start_with_box("model").await;
    let response = call(&fleet.gateways[0], request("/live/x", "r1", Some(EVENTS))).await;
    assert_eq!(received(response).await, (events(1..=sound), false));
}

/// Guards against a stream that skips a piece, where no other endpoint may continue it.
#[parameterized(
    id_too_high = { "id: 4\n", "id: 9\n" },
    id_too_low = { "id: 4\n", "id: 3\n" },
)]
#[test_macro(tokio::test)]
async fn spoiled_stream_that_may_not_be_resumed_breaks_off(right: &str, wrong: &str) {
    let spoiled = all_events(EVENTS).replacen(right, wrong, 1);
    let endpoints = RawEndpoints::new([RawAnswer::new(spoiled, ConnectionEnd::Close)]);
    let fleet = endpoints.start_with_box("model").await;
    let response = call(&fleet.gateways[0], request("/draft/x", "r1", Some(EVENTS))).await;
    assert_eq!(received(response).await, (events(1..=3), false));
}

/// Guards against refusing whole streams whose events need no ids, as nothing continues them.
#[parameterized(
    without_ids = { "data: a\n\ndata: b\n\n" },
    text_ids = { "id: a\ndata: a\n\nid: b\ndata: b\n\n" },
    from_zero = { "id: 0\ndata: a\n\nid: 1\ndata: b\n\n" },
    with_comments = { ": c\n\nid: 1\ndata: a\n\n: c\n\nid: 2\ndata: b\n\n" },
    with_version = { "id: 1\ndata: a\n\nx-weight-versions: 2\nid: 2\ndata: b\n\n" },
)]
#[test_macro(tokio::test)]
async fn stream_that_may_not_be_resumed_is_forwarded_as_it_is(text: &'static str) {
    let endpoints = RawEndpoints::new([RawAnswer::new(text, ConnectionEnd::Close)]);
    let fleet = endpoints.start_with_box("model").await;
    let response = call(&fleet.gateways[0], request("/draft/x", "r1", Some(2))).await;
    assert_eq!(received(response).await, (text.to_owned(), true));
}

/// Guards against refusing lines that a resumable stream may have beside ids and data.
#[parameterized(
    with_comments = { ": c\n\nid: 1\ndata: a\n\n: c\n\nid: 2\ndata: b\n\n" },
    with_version = { "id: 1\ndata: a\n\nx-weight-versions: 2\nid: 2\ndata: b\n\n" },
    with_types = { "event: token\nid: 1\ndata: a\ndata: a\n\nid: 2\nretry: 5\ndata: b\n\n" },
)]
#[test_macro(tokio::test)]
async fn resumable_stream_is_forwarded_as_it_is(text: &'static str) {
    let endpoints = RawEndpoints::new([RawAnswer::new(text, ConnectionEnd::Close)]);
    let fleet = endpoints.start_with_box("model").await;
    let response = call(&fleet.gateways[0], request("/live/x", "r1", Some(2))).await;
    assert_eq!(received(response).await, (text.to_owned(), true));
}
