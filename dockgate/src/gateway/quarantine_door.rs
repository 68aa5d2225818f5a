//! Shows an operator the requests in quarantine, and releases one.

use super::gateway_state::GatewayState;
use super::quarantine::release;
use crate::clock::now_ms;
use dockgate_core::gateway::{Quarantine, RequestFingerprint};
use dockgate_proto::{QuarantineAnswer, QuarantineRequest, QuarantineRow, methods};
use jsonrpsee::RpcModule;
use jsonrpsee::core::RegisterMethodError;
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INVALID_PARAMS_CODE;
use std::sync::Arc;

/// Adds the method to the door at which boxes ask each other.
///
/// # Errors
///
/// Returns an error where the method cannot be registered.
pub(super) fn register(
    module: &mut RpcModule<Arc<GatewayState>>,
) -> Result<(), RegisterMethodError> {
    module.register_method(methods::QUARANTINE, |params, state, _| {
        let request: QuarantineRequest = params.one()?;
        if let Some(print) = request.release {
            release(state, read_print(state, &print)?);
        }
        Ok::<_, ErrorObjectOwned>(list(state))
    })?;
    Ok(())
}

/// Reads the print of a request that is in quarantine.
fn read_print(state: &GatewayState, text: &str) -> Result<RequestFingerprint, ErrorObjectOwned> {
    let refuse =
        |problem: String| ErrorObjectOwned::owned(INVALID_PARAMS_CODE, problem, None::<()>);
    let print = text.parse::<RequestFingerprint>().map_err(|_| {
        refuse(format!(
            "'{text}' is no print: 32 hexadecimal digits, as log lines have them"
        ))
    })?;
    let known = state.with(|beliefs| beliefs.suspects.quarantine(print, now_ms()).is_some());
    known
        .then_some(print)
        .ok_or_else(|| refuse(format!("{print} is not in quarantine, as this box knows")))
}

fn list(state: &GatewayState) -> QuarantineAnswer {
    let now = now_ms();
    let known = state.with(|beliefs| beliefs.suspects.quarantines(now));
    let held = known
        .into_iter()
        .filter(|(_, quarantine)| quarantine.stage.is_active());
    let row = |(print, quarantine): (RequestFingerprint, Quarantine)| QuarantineRow {
        fingerprint: print.to_string(),
        age_ms: (now as i64 - quarantine.at_ms).max(0) as u64,
        trials: quarantine.stage.trials,
        next_trial_ms: quarantine
            .next_trial(now)
            .map(|after| after.as_millis() as u64),
    };
    QuarantineAnswer {
        requests: held.map(row).collect(),
    }
}
