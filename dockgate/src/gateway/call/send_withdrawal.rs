//! Withdraws a prompt that was sent and has no answer yet when a part of it goes into quarantine.

use super::AdmittedCall;
use tokio::sync::watch;

/// Waits until a prompt has to be withdrawn.
pub(super) struct SendWithdrawal<'a> {
    call: &'a AdmittedCall,
    /// Changes when a part goes into quarantine; `None` if the prompt is not withdrawn.
    changes: Option<watch::Receiver<u64>>,
}

impl<'a> SendWithdrawal<'a> {
    pub(super) fn new(call: &'a AdmittedCall) -> Self {
        let may_be_withdrawn = !call.shared_parts().is_empty();
        let changes = &call.state.quarantined_parts;
        Self {
            call,
            changes: may_be_withdrawn.then(|| changes.subscribe()),
        }
    }

    /// Returns whether a part is in quarantine now.
    pub(super) fn is_due(&self) -> bool {
        !self.call.quarantined_parts().is_empty()
    }

    /// Completes when a part goes into quarantine.
    pub(super) async fn wait(&mut self) {
        while let Some(changes) = self.changes.as_mut() {
            match changes.changed().await {
                Ok(()) if self.is_due() => return,
                Ok(()) => {}
                Err(_) => self.changes = None,
            }
        }
        std::future::pending::<()>().await;
    }
}
