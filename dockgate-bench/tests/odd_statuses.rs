//! Answers whose status is none that ends a request.
//!
//! Guards against a caller that gets what is no final answer as the answer to its request.

use dockgate_bench::standin::caller::{all_events, call, request, text};
use dockgate_bench::standin::{ConnectionEnd, RawAnswer, RawEndpoints};
use http::StatusCode;
use yare::parameterized;

fn answer(status: &str) -> RawAnswer {
    RawAnswer {
        status: status.to_owned(),
        ..RawAnswer::new("odd", ConnectionEnd::Close)
    }
}

/// Guards against passing on a status that is no final one; 101 lets a caller take what follows on its
/// connection for another protocol.
#[parameterized(
    zero = { "000" },
    zero_with_reason = { "000 OK" },
    two_digits = { "00" },
    below_the_range = { "099 Low" },
    four_digits = { "1000 OK" },
    negative = { "-20 OK" },
    interim_continue = { "100 Continue" },
    switching_protocols = { "101 Switching Protocols" },
    interim = { "150 Interim" },
    no_number = { "x00 OK" },
)]
#[test_macro(tokio::test)]
async fn status_that_is_not_final_is_a_failure(status: &str) {
    let endpoints = RawEndpoints::new([answer(status)]);
    let fleet = endpoints.start_with_box("plain").await;
    let response = call(&fleet.gateways[0], request("/once/x", "r1", None)).await;
    assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    assert!(!response.headers().contains_key("x-upstream-signature"));
}

/// Guards against the same in a stream, and against an endpoint that is believed to have answered.
#[parameterized(
    zero = { "000 OK" },
    switching_protocols = { "101 Switching Protocols" },
)]
#[test_macro(tokio::test)]
async fn stream_whose_status_is_not_final_is_sent_to_another_endpoint(status: &str) {
    let whole = RawAnswer::new(all_events(2), ConnectionEnd::Close);
    let endpoints = RawEndpoints::new([answer(status), whole]);
    let fleet = endpoints.start_with_box("model").await;
    let response = call(&fleet.gateways[0], request("/live/x", "r1", Some(2))).await;
    assert_eq!(response.status(), StatusCode::OK);
    assert_eq!(text(response).await, all_events(2));
}

/// Guards against changing the status of an endpoint, which callers get as it is, and against taking
/// one without a class for an answer that ends a request which may be repeated.
#[parameterized(
    first = { 600 },
    last = { 999 },
)]
#[test_macro(tokio::test)]
async fn status_without_a_class_is_a_failure_of_the_endpoint(status: u16) {
    let odd = answer(&status.to_string());
    let whole = RawAnswer::new("whole", ConnectionEnd::Close);
    let endpoints = RawEndpoints::new([odd.clone(), odd, whole]);
    let fleet = endpoints.start_with_box("plain").await;
    let once = call(&fleet.gateways[0], request("/once/x", "r1", None)).await;
    assert_eq!(once.status().as_u16(), status);
    assert_eq!(text(once).await, "odd");
    let repeated = call(&fleet.gateways[0], request("/again/x", "r2", None)).await;
    assert_eq!(repeated.status(), StatusCode::OK);
    assert_eq!(text(repeated).await, "whole");
}
