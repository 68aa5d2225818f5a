//! Calls that requests share if they need them at the same time.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::sync::Mutex;

/// Runs a call for all requests that wait for one, one at a time.
///
/// A request gets the result of a call that began after the request had asked, never that of an
/// earlier one.
#[derive(Debug)]
pub(super) struct SharedCall<T> {
    /// The number of calls that have begun.
    begun: AtomicU64,
    /// The number of the last call that has ended, and its result.
    last: Mutex<Option<(u64, T)>>,
}

impl<T> Default for SharedCall<T> {
    fn default() -> Self {
        Self {
            begun: AtomicU64::new(0),
            last: Mutex::new(None),
        }
    }
}

impl<T: Copy> SharedCall<T> {
    /// Returns the result of `call`, or that of another request's call.
    pub(super) async fn run(&self, call: impl AsyncFnOnce() -> T) -> T {
        let begun_before = self.begun.load(Ordering::Acquire);
        let mut last = self.last.lock().await;
        if let Some((number, result)) = *last
            && number > begun_before
        {
            return result;
        }
        let number = self.begun.fetch_add(1, Ordering::AcqRel) + 1;
        let result = call().await;
        *last = Some((number, result));
        result
    }
}

#[cfg(test)]
mod tests;
