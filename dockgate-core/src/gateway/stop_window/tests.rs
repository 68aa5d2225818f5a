use super::*;
use crate::gateway::GenerationTimes;
use proptest::prelude::*;
use yare::parameterized;

/// A stop at 1,000 ms of a process that ends at 9,000 ms.
const WINDOW: StopWindow = StopWindow::new(1_000, 8_000);

#[parameterized(
    deadline_in_time = { 1_000, 7_800, None, true },
    deadline_in_time_late = { 8_500, 300, None, true },
    deadline_too_late = { 1_000, 7_801, None, false },
    prediction_fits_at_first = { 2_999, 9_000, Some(4_000), true },
    prediction_without_margin = { 1_000, 9_000, Some(7_000), false },
    prediction_is_too_old = { 3_000, 9_000, Some(100), false },
    deadline_counts_later = { 3_000, 4_000, Some(100), true },
    unbounded = { 1_000, u64::MAX, Some(u64::MAX), false },
    past_end = { 9_500, 0, Some(0), false },
)]
fn requests_are_accepted_if_they_end_in_time(
    now_ms: u64,
    time_left_ms: u64,
    predicted_ms: Option<u64>,
    expected: bool,
) {
    assert_eq!(WINDOW.admits(now_ms, time_left_ms, predicted_ms), expected);
}

#[test]
fn short_windows_shorten_the_time_of_predictions() {
    let window = StopWindow::new(1_000, 2_000);
    assert!(window.admits(1_499, 9_000, Some(400)));
    assert!(!window.admits(1_500, 9_000, Some(400)));
}

#[test]
fn window_without_grace_accepts_nothing() {
    let window = StopWindow::new(1_000, 0);
    assert!(!window.admits(1_000, 100, Some(10)));
    assert_eq!(window.final_answer_ms(), 1_000);
    assert!(window.is_past_end(1_000));
}

/// A request at a box that may stop.
#[derive(Debug, Clone, Copy)]
struct StreamCall {
    arrived_ms: u64,
    /// The time until its deadline.
    budget_ms: u64,
    max_events: u64,
    /// Its times at the endpoints; waits, repeated sends and resumptions are part of them.
    first_ms: u64,
    event_ms: u64,
}

/// How a request ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallEnd {
    Refused,
    /// Answered by an endpoint, or by the box at the deadline.
    Answered,
    /// Answered by the box when the process ends.
    AnsweredAtEnd,
    /// Broken off after the first event when the process ends.
    BrokenOff,
}

impl StreamCall {
    /// Returns when the first event and the last event arrive, or the deadline passes.
    fn event_times(&self) -> (u64, u64) {
        let deadline_ms = self.arrived_ms + self.budget_ms;
        let first_ms = self.arrived_ms + self.first_ms;
        let last_ms = first_ms + self.event_ms * self.max_events;
        (first_ms.min(deadline_ms), last_ms.min(deadline_ms))
    }

    fn end(&self, window: &StopWindow, predicted_ms: Option<u64>) -> CallEnd {
        let is_admitted = self.arrived_ms < window.began_ms
            || window.admits(self.arrived_ms, self.budget_ms, predicted_ms);
        match self.event_times() {
            _ if !is_admitted || window.is_past_end(self.arrived_ms) => CallEnd::Refused,
            (_, last_ms) if last_ms <= window.final_answer_ms() => CallEnd::Answered,
            (first_ms, _) if first_ms > window.final_answer_ms() => CallEnd::AnsweredAtEnd,
            (_, last_ms) if !window.is_past_end(last_ms) => CallEnd::Answered,
            _ => CallEnd::BrokenOff,
        }
    }
}

fn stream_call() -> impl Strategy<Value = StreamCall> {
    (
        0_u64..20_000,
        1_u64..40_000,
        0_u64..400,
        0_u64..9_000,
        0_u64..400,
    )
        .prop_map(
            |(arrived_ms, budget_ms, max_events, first_ms, event_ms)| StreamCall {
                arrived_ms,
                budget_ms,
                max_events,
                first_ms,
                event_ms,
            },
        )
}

proptest! {
    /// Guards against breaking off requests that were accepted after callers could notice the stop,
    /// whatever was predicted, and against refusing those that end in time.
    #[test]
    fn late_requests_are_answered_or_refused(
        calls in prop::collection::vec(stream_call(), 1..60),
        wrong_predictions in prop::collection::vec(prop::option::of(0_u64..20_000), 60),
        measures in any::<bool>(),
        stopped_ms in 0_u64..20_000,
        grace_ms in 0_u64..12_000,
    ) {
        let mut calls = calls;
        calls.sort_by_key(|call| call.arrived_ms);
        let window = StopWindow::new(stopped_ms, grace_ms);
        let noticed_ms = stopped_ms + (grace_ms / 4).min(2_000);
        let mut times = GenerationTimes::default();
        for (call, wrong_ms) in calls.iter().zip(wrong_predictions) {
            let now_ms = call.arrived_ms;
            let predicted_ms = match measures {
                true => times.predict_ms("model", call.max_events, now_ms),
                false => wrong_ms,
            };
            let end = call.end(&window, predicted_ms);
            let deadline_ms = now_ms + call.budget_ms;
            if now_ms >= noticed_ms {
                prop_assert!(
                    matches!(end, CallEnd::Refused | CallEnd::Answered),
                    "{:?}: {:?}", end, call
                );
            }
            if now_ms < stopped_ms || deadline_ms + 200 <= stopped_ms + grace_ms {
                prop_assert_ne!(end, CallEnd::Refused, "{:?}", call);
            }
            times.record_first("model", call.first_ms, now_ms);
            times.record_events("model", call.event_ms * call.max_events, call.max_events, now_ms);
        }
    }

    /// Guards against predictions that most streams exceed: with streams of one kind, few of those
    /// that are accepted by a prediction outlast the process.
    #[test]
    fn measured_predictions_are_rarely_wrong(
        first_ms in 1_u64..3_000,
        event_ms in 1_u64..200,
        spread in 1_u64..4,
        grace_ms in 2_000_u64..12_000,
    ) {
        const STREAMS: u64 = 400;
        let mut times = GenerationTimes::default();
        let window = StopWindow::new(4_000, grace_ms);
        let mut outlasting = 0;
        for number in 0..STREAMS * 2 {
            // Arrivals over 4 s before the stop, and at its beginning.
            let arrived_ms = (number * 10).min(4_000);
            let factor = 1 + crate::gateway::tie_break(number, crate::gateway::EndpointId(7)) % spread;
            let call = StreamCall {
                arrived_ms,
                budget_ms: 60_000,
                max_events: 50,
                first_ms: first_ms * factor,
                event_ms: event_ms * factor,
            };
            if arrived_ms >= 4_000 {
                let predicted_ms = times.predict_ms("model", call.max_events, arrived_ms);
                prop_assert!(predicted_ms.is_some());
                let is_whole = matches!(call.end(&window, predicted_ms), CallEnd::Answered | CallEnd::Refused);
                outlasting += u64::from(!is_whole);
            }
            times.record_first("model", call.first_ms, arrived_ms);
            times.record_events("model", call.event_ms * 50, 50, arrived_ms);
        }
        prop_assert!(outlasting <= STREAMS / 10, "{} of {} outlast the process", outlasting, STREAMS);
    }
}
