use super::*;
use http::HeaderValue;
use yare::parameterized;

#[parameterized(
    no_time = { 503, None, SlotOutcome::Full },
    seconds = { 503, Some("3"), SlotOutcome::Backoff(3_000) },
    none = { 503, Some("0"), SlotOutcome::Full },
    date = { 503, Some("Wed, 21 Oct 2026 07:28:00 GMT"), SlotOutcome::Full },
    huge = { 503, Some("4000000000"), SlotOutcome::Backoff(3_600_000) },
    too_many_requests = { 429, Some("3"), SlotOutcome::Full },
)]
fn unavailable_with_seconds_starts_a_backoff(
    status: u16,
    retry_after: Option<&'static str>,
    slot_outcome: SlotOutcome,
) {
    let status = StatusCode::from_u16(status).unwrap();
    let values = retry_after.map(HeaderValue::from_static);
    let headers = values.map(|value| (header::RETRY_AFTER, value));
    assert_eq!(
        classify_refusal(status, &headers.into_iter().collect()),
        slot_outcome
    );
}
