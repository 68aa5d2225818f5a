//! The RPC method by which an operator lists and releases what is in quarantine.

use super::gateway_state::GatewayState;
use super::quarantine::{endpoint_names, release};
use crate::clock::now_ms;
use dockgate_core::gateway::{Quarantine, SuspectKey};
use dockgate_proto::{QuarantineAnswer, QuarantineRequest, QuarantineRow, methods};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use std::sync::Arc;

/// Registers the method with the listener for queries of other boxes.
///
/// # Errors
///
/// Returns an error if the method cannot be registered.
pub(super) fn register(
    module: &mut RpcModule<Arc<GatewayState>>,
) -> Result<(), RegisterMethodError> {
    module.register_method(methods::QUARANTINE, |params, state, _| {
        let request: QuarantineRequest = params.one()?;
        if let Some(fingerprint) = request.release {
            release(state, parse_fingerprint(state, &fingerprint)?);
        }
        Ok::<_, ErrorObjectOwned>(list(state))
    })?;
    Ok(())
}

/// Parses the key of a request or part, and checks that it is in quarantine.
fn parse_fingerprint(state: &GatewayState, text: &str) -> Result<SuspectKey, ErrorObjectOwned> {
    let refuse =
        |problem: String| ErrorObjectOwned::owned(INVALID_PARAMS_CODE, problem, None::<()>);
    let fingerprint = text.parse::<SuspectKey>().map_err(|_| {
        refuse(format!(
            "'{text}' is not a request fingerprint: expected 32 hexadecimal digits"
        ))
    })?;
    let known = state.with(|view| view.suspects.quarantine(fingerprint, now_ms()).is_some());
    known
        .then_some(fingerprint)
        .ok_or_else(|| refuse(format!("{fingerprint} is not in quarantine here")))
}

/// Returns the endpoints that ended while they ran a suspect.
fn ended_endpoints(state: &GatewayState, suspect: SuspectKey) -> Vec<String> {
    let ended = state.with(|view| view.suspects.ended_lifetimes(suspect));
    endpoint_names(state, &ended)
}

fn list(state: &GatewayState) -> QuarantineAnswer {
    let now = now_ms();
    let known = state.with(|view| view.suspects.quarantines(now));
    let active = known
        .into_iter()
        .filter(|(_, quarantine)| quarantine.stage.is_active());
    let row = |(fingerprint, quarantine): (SuspectKey, Quarantine)| QuarantineRow {
        fingerprint: fingerprint.to_string(),
        kind: fingerprint.kind().as_str().to_owned(),
        endpoints: ended_endpoints(state, fingerprint),
        age_ms: (now as i64 - quarantine.at_ms).max(0) as u64,
        trials: quarantine.stage.trials,
        next_trial_ms: quarantine
            .next_trial(now)
            .map(|after| after.as_millis() as u64),
    };
    QuarantineAnswer {
        requests: active.map(row).collect(),
    }
}
