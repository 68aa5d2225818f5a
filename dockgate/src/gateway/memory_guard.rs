//! Counts memory in the budget of the box for as long as it is allocated.

use super::gateway_state::GatewayState;
use bytes::Bytes;
use dockgate_core::gateway::{AnswerCharge, AnswerGrowth, AnswerKey, MemoryBudget};
use std::sync::Arc;

/// Returns the resident memory of the process without the pages that are mapped from files, which
/// the system can drop and read again; `None` where the system does not tell it.
pub(super) fn resident_bytes() -> Option<u64> {
    let line = std::fs::read_to_string("/proc/self/statm").ok()?;
    let mut pages = line.split_ascii_whitespace().skip(1);
    let mut next_pages = || pages.next()?.parse::<u64>().ok();
    let (resident, shared) = (next_pages()?, next_pages()?);
    Some(resident.saturating_sub(shared) * rustix::param::page_size() as u64)
}

/// Counts bytes in the memory budget until it is dropped.
pub(super) struct MemoryGuard {
    state: Arc<GatewayState>,
    workspace: Option<u64>,
    bytes: u64,
}

impl MemoryGuard {
    /// Counts an open connection of a caller.
    pub(super) fn connection(state: &Arc<GatewayState>) -> Self {
        let bytes = MemoryBudget::CONNECTION_BYTES;
        state.with_memory(|memory| memory.charge(None, bytes));
        Self {
            state: state.clone(),
            workspace: None,
            bytes,
        }
    }

    /// Counts a request of a workspace and `body` bytes of its body; returns `None` if they do not
    /// fit.
    pub(super) fn request(state: &Arc<GatewayState>, workspace: u64, body: u64) -> Option<Self> {
        let bytes = MemoryBudget::REQUEST_BYTES + body;
        let fits = state.with_memory(|memory| memory.try_charge(workspace, bytes));
        fits.then(|| Self {
            state: state.clone(),
            workspace: Some(workspace),
            bytes,
        })
    }

    /// Counts further bytes; returns whether they fit.
    pub(super) fn try_grow(&mut self, bytes: u64) -> bool {
        let Some(workspace) = self.workspace else {
            return false;
        };
        let fits = self
            .state
            .with_memory(|memory| memory.try_charge(workspace, bytes));
        if fits {
            self.bytes += bytes;
        }
        fits
    }

    /// Creates a guard for bytes of an answer to a workspace.
    pub(super) fn answer(state: &Arc<GatewayState>, workspace: u64) -> Self {
        Self {
            state: state.clone(),
            workspace: Some(workspace),
            bytes: 0,
        }
    }

    /// Counts further bytes, whether or not they fit.
    pub(super) fn grow(&mut self, bytes: u64) {
        self.state
            .with_memory(|memory| memory.charge(self.workspace, bytes));
        self.bytes += bytes;
    }

    /// Releases the body of a request, with the buffer that holds it.
    pub(super) fn release_body(&mut self) {
        let bytes = self.take_body();
        self.state
            .with_memory(|memory| memory.release(self.workspace, bytes));
    }

    /// Returns the bytes counted for the body of a request, which it counts no longer.
    const fn take_body(&mut self) -> u64 {
        let bytes = self.bytes.saturating_sub(MemoryBudget::REQUEST_BYTES);
        self.bytes -= bytes;
        bytes
    }

    /// Returns bytes that stay counted until they have been written to their reader.
    pub(super) fn attach_to(self, bytes: Bytes) -> Bytes {
        attach_guard(self, bytes)
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.state
            .with_memory(|memory| memory.release(self.workspace, self.bytes));
    }
}

/// Counts an answer that is read whole, and what is reserved for it, until it is dropped.
pub(super) struct AnswerGuard {
    state: Arc<GatewayState>,
    charge: AnswerCharge,
}

impl AnswerGuard {
    /// Reserves the expected size of an answer; returns `None` if it does not fit.
    pub(super) fn reserve(state: &Arc<GatewayState>, key: AnswerKey) -> Option<Self> {
        let charge = state.with_memory(|memory| memory.try_reserve_answer(key))?;
        Some(Self {
            state: state.clone(),
            charge,
        })
    }

    /// Creates a guard for an answer for which nothing is reserved.
    pub(super) fn unreserved(state: &Arc<GatewayState>, key: AnswerKey) -> Self {
        Self {
            state: state.clone(),
            charge: AnswerCharge::unreserved(key),
        }
    }

    /// Counts further bytes, if they fit.
    pub(super) fn try_grow(&mut self, bytes: u64) -> AnswerGrowth {
        let charge = &mut self.charge;
        self.state
            .with_memory(|memory| memory.try_grow_answer(charge, bytes))
    }

    /// Reserves what a request counts for its body, which is given up.
    pub(super) fn take_body_of(&mut self, request: &mut MemoryGuard) {
        let bytes = request.take_body();
        let charge = &mut self.charge;
        self.state
            .with_memory(|memory| memory.transfer_to_answer(charge, bytes));
    }

    /// Releases what an incomplete answer holds, but not the reservation.
    pub(super) fn reset(&mut self) {
        let charge = &mut self.charge;
        self.state.with_memory(|memory| memory.reset_answer(charge));
    }

    /// Returns the complete answer, which stays counted until it has been written to its reader. The
    /// size of one that `is_typical` is expected of those that follow.
    pub(super) fn attach_to(mut self, bytes: Bytes, is_typical: bool) -> Bytes {
        let charge = &mut self.charge;
        self.state
            .with_memory(|memory| memory.complete_answer(charge, is_typical));
        attach_guard(self, bytes)
    }
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        self.state
            .with_memory(|memory| memory.release_answer(self.charge));
    }
}

/// Returns bytes that keep a guard until the last slice of them is dropped.
fn attach_guard<G: Send + 'static>(guard: G, bytes: Bytes) -> Bytes {
    Bytes::from_owner(GuardedBytes {
        bytes,
        _guard: guard,
    })
}

/// Bytes with the guard that counts them.
struct GuardedBytes<G> {
    bytes: Bytes,
    _guard: G,
}

impl<G> AsRef<[u8]> for GuardedBytes<G> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

#[cfg(test)]
mod tests;
