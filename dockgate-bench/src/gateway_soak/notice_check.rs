//! Checks that boxes heed what endpoints say of themselves in their answers.

use super::caller_standin::SoakCall;
use super::soak_fault::FaultField;
use crate::standin::{ReceivedRequest, RoutedStandIn};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long after it was asked for a rest begins: what was sent before is on its way.
const REST_SLACK: Duration = Duration::from_millis(500);
/// How many requests of a box may reach an endpoint while it rests.
const MOST_IN_REST: usize = 2;

/// Lists what reached endpoints although they had said that they leave, or want rest.
///
/// A box remembers neither over a restart, and a time by which its clock was put forward has passed for it.
pub(super) fn sent_despite_notices(
    calls: &[SoakCall],
    lives: &[&RoutedStandIn],
    field: &FaultField,
) -> Vec<String> {
    let calls_of: HashMap<&str, &SoakCall> =
        calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let has_restarted = |box_at: usize, from: Instant, until: Instant| {
        let mut of_box = field.disturbed.iter().filter(|fault| fault.restarts);
        of_box.any(|fault| fault.box_at == Some(box_at) && fault.from < until && fault.until > from)
    };
    let mut found = Vec::new();
    for life in lives {
        let proof = format!("proof-of-{}", life.id);
        let turned_away = life.rejected();
        let mut arrived: Vec<ReceivedRequest> = life.ran();
        arrived.extend(turned_away.iter().map(|turned| turned.request.clone()));
        let arrived = arrived.iter();
        let arrived = arrived.filter_map(|seen| Some((seen, *calls_of.get(seen.id.as_str())?)));
        let arrived: Vec<(&ReceivedRequest, &SoakCall)> = arrived.collect();
        for (seen, call) in &arrived {
            let told = calls.iter().filter(|told| told.box_at == call.box_at);
            let mut told = told.filter_map(|told| told.leaving.as_ref());
            let told = told.find(|told| {
                let is_of_life = told.started_ms == life.started_ms && told.proof == proof;
                is_of_life && told.at < call.begun && !has_restarted(call.box_at, told.at, seen.at)
            });
            found.extend(told.map(|told| {
                let after = call.begun - told.at;
                format!(
                    "{}: sent to {} which leaves, {after:?} after it was told",
                    seen.id, life.id
                )
            }));
        }
        for turned in &turned_away {
            let Some(asked) = calls_of.get(turned.request.id.as_str()) else {
                continue;
            };
            let at = turned.request.at;
            let end = at + turned.rest;
            let jumps = field
                .suspended
                .iter()
                .filter(|jump| jump.box_at == asked.box_at && (at..end).contains(&jump.at));
            let passed: Duration = jumps.map(|jump| jump.away).sum();
            let rest = at + REST_SLACK..end.checked_sub(passed).unwrap_or(at);
            let in_rest = arrived
                .iter()
                .filter(|(seen, call)| call.box_at == asked.box_at && rest.contains(&seen.at));
            let ids: Vec<&str> = in_rest.map(|(seen, _)| seen.id.as_str()).collect();
            if ids.len() > MOST_IN_REST && !has_restarted(asked.box_at, at, rest.end) {
                found.push(format!(
                    "{} asked box {} for {:?} of rest and got {ids:?}",
                    life.id, asked.box_at, turned.rest
                ));
            }
        }
    }
    found
}
