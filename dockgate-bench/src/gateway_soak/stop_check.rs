//! Checks that boxes that are asked to stop answer the requests that they have passed on.

use super::crashing_caller::Disturbance;
use super::soak_call::{AnswerEnd, SoakCall};
use std::collections::HashMap;
use std::time::Duration;

/// Time after the signal within which callers cannot have noticed the stop: a quarter of the time
/// in which a box stops. Streams that are sent later may not be broken off.
const NOTICE_TIME: Duration = Duration::from_millis(900);

/// Lists the requests that reached an endpoint and were cut although their deadlines had not passed:
/// those without any answer, and those that were sent when callers could have noticed the stop.
///
/// `own_lag` is the maximum scheduling lag of this process.
pub(super) fn requests_cut_by_stops(
    calls: &[SoakCall],
    runs: &HashMap<String, usize>,
    disturbances: &[Disturbance],
    own_lag: Duration,
) -> Vec<String> {
    let stopped_for = |call: &SoakCall| {
        let stops = disturbances.iter().filter(|stop| {
            stop.box_index == Some(call.box_index)
                && stop.from < call.started
                && call.started < stop.until
        });
        stops.map(|stop| call.started - stop.from).max()
    };
    let cut = calls.iter().filter(|call| {
        let is_late = stopped_for(call).is_some_and(|after| after > NOTICE_TIME + own_lag);
        let is_cut = match call.end {
            AnswerEnd::Missing => true,
            AnswerEnd::BrokenOff => is_late,
            AnswerEnd::Complete => false,
        };
        is_cut && call.took < call.budget && runs.contains_key(&call.id)
    });
    let cut = cut.map(|call| {
        format!(
            "{}: {:?} after {:?} of {:?} at box {}, sent {:?} after its stop",
            call.id,
            call.end,
            call.took,
            call.budget,
            call.box_index,
            stopped_for(call),
        )
    });
    cut.collect()
}
