//! Checks that boxes respect the notices that endpoints give in their answers.

use super::fault_injector::FaultInjector;
use super::soak_call::SoakCall;
use crate::standin::{ReceivedRequest, RoutedStandIn};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time until a backoff takes effect; requests sent before may still be in transit.
const BACKOFF_SLACK: Duration = Duration::from_millis(500);
/// Maximum number of requests of a box that may reach an endpoint during its backoff.
const MAX_SENDS_IN_BACKOFF: usize = 2;

/// Lists requests that reached endpoints after they announced that they leave, or during their
/// backoff.
///
/// A box forgets both when it restarts, and a simulated suspension shortens the backoff.
pub(super) fn sent_despite_notices(
    calls: &[SoakCall],
    endpoints: &[&RoutedStandIn],
    injector: &FaultInjector,
) -> Vec<String> {
    let calls_of: HashMap<&str, &SoakCall> =
        calls.iter().map(|call| (call.id.as_str(), call)).collect();
    let has_restarted = |box_index: usize, from: Instant, until: Instant| {
        let mut of_box = injector.disturbances.iter().filter(|fault| fault.restarts);
        of_box.any(|fault| {
            fault.box_index == Some(box_index) && fault.from < until && fault.until > from
        })
    };
    let mut found = Vec::new();
    for endpoint in endpoints {
        let proof = format!("proof-of-{}", endpoint.id);
        let rejections = endpoint.rejected();
        let mut arrived: Vec<ReceivedRequest> = endpoint.ran();
        arrived.extend(rejections.iter().map(|rejection| rejection.request.clone()));
        let arrived = arrived.iter();
        let arrived =
            arrived.filter_map(|received| Some((received, *calls_of.get(received.id.as_str())?)));
        let arrived: Vec<(&ReceivedRequest, &SoakCall)> = arrived.collect();
        for (received, call) in &arrived {
            let notices = calls
                .iter()
                .filter(|other| other.box_index == call.box_index);
            let mut notices = notices.filter_map(|other| other.leaving.as_ref());
            let notice = notices.find(|notice| {
                let is_same_lifetime =
                    notice.started_ms == endpoint.started_ms && notice.proof == proof;
                is_same_lifetime
                    && notice.at < call.started
                    && !has_restarted(call.box_index, notice.at, received.at)
            });
            found.extend(notice.map(|notice| {
                let after = call.started - notice.at;
                format!(
                    "{}: sent to {} {after:?} after it announced that it leaves",
                    received.id, endpoint.id
                )
            }));
        }
        for rejection in &rejections {
            let Some(rejected_call) = calls_of.get(rejection.request.id.as_str()) else {
                continue;
            };
            let at = rejection.request.at;
            let end = at + rejection.backoff;
            let suspensions = injector.suspensions.iter().filter(|suspension| {
                suspension.box_index == rejected_call.box_index
                    && (at..end).contains(&suspension.at)
            });
            let passed: Duration = suspensions.map(|suspension| suspension.duration).sum();
            let backoff = at + BACKOFF_SLACK..end.checked_sub(passed).unwrap_or(at);
            let in_backoff = arrived.iter().filter(|(received, call)| {
                call.box_index == rejected_call.box_index && backoff.contains(&received.at)
            });
            let ids: Vec<&str> = in_backoff
                .map(|(received, _)| received.id.as_str())
                .collect();
            if ids.len() > MAX_SENDS_IN_BACKOFF
                && !has_restarted(rejected_call.box_index, at, backoff.end)
            {
                found.push(format!(
                    "{} asked box {} for a backoff of {:?} but received {ids:?}",
                    endpoint.id, rejected_call.box_index, rejection.backoff
                ));
            }
        }
    }
    found
}
