//! Computes the keys under which a request may be in quarantine, and refuses requests that are.

use super::super::gateway_state::GatewayState;
use super::super::refusal::RefusalReason;
use super::super::{interrupted_parts, quarantine, quarantine_store};
use super::CallRefusal;
use crate::clock::now_ms;
use dockgate_core::gateway::{FingerprintInput, PromptShape, Quarantine, SuspectKey};
use http::{Method, Uri};

/// Returns the fingerprint of a request, which does not depend on its id.
pub(super) fn fingerprint_of(
    workspace: &str,
    method: &Method,
    host: &str,
    uri: &Uri,
    body: &[u8],
) -> SuspectKey {
    SuspectKey::of_request(&FingerprintInput {
        workspace,
        method: method.as_str(),
        host,
        target: &uri.to_string(),
        body,
    })
}

/// Returns the keys of the shared parts of a prompt for a service; none without a prompt.
pub(super) fn part_keys(service: &str, prompt: Option<&PromptShape>) -> Vec<SuspectKey> {
    let parts = prompt.map_or(&[][..], |prompt| &prompt.parts);
    let ids: Vec<u64> = parts.iter().map(|part| part.id).collect();
    SuspectKey::of_shared_parts(service, &ids)
}

/// Returns the shared part of a prompt with a key, as callers name it.
pub(super) fn part_name(
    service: &str,
    prompt: Option<&PromptShape>,
    key: SuspectKey,
) -> Option<String> {
    let mut parts = prompt?.shared_parts().iter();
    let part = parts.find(|part| SuspectKey::of_part(service, part.id) == key)?;
    Some(interrupted_parts::part_name(part.id))
}

/// Checks whether a request may be sent: one that is quarantined, or a part of whose prompt is, may
/// be sent only as a trial. Returns the key that is tried, if any.
///
/// # Errors
///
/// Returns a refusal with the time of the next trial if the request is quarantined.
pub(super) async fn check_quarantine(
    state: &GatewayState,
    parts: impl FnOnce() -> Vec<SuspectKey>,
    request: impl FnOnce() -> SuspectKey,
) -> Result<Option<SuspectKey>, CallRefusal> {
    let quarantines = quarantine::find_quarantines(state, parts, request);
    let now = now_ms();
    // With a second key in quarantine, an end would not show which of them caused it.
    match quarantines[..] {
        [] => return Ok(None),
        [(key, quarantine)]
            if quarantine.is_trial_due(now)
                && quarantine_store::acquire_trial(state, key).await =>
        {
            return Ok(Some(key));
        }
        _ => {}
    }
    Err(refuse_quarantined(&quarantines))
}

/// Returns the refusal of a request with keys in quarantine, with the time of the latest trial.
pub(super) fn refuse_quarantined(quarantines: &[(SuspectKey, Quarantine)]) -> CallRefusal {
    let now = now_ms();
    let quarantines = quarantines.iter();
    let times = quarantines.map(|(key, quarantine)| (quarantine.retry_after(now), *key));
    let latest = times.max();
    CallRefusal {
        retry_after: latest.map(|(after, _)| after),
        quarantined: latest.map(|(_, key)| key),
        ..RefusalReason::Quarantined.into()
    }
}
