//! The notices that endpoints send with their answers to this box, by lifetime.
//!
//! Notices are kept apart from the records and the health of endpoints: neither a rewritten or
//! expired record nor the outcome of a request changes them. That a lifetime is leaving is final; a
//! backoff ends after its time. A notice of one lifetime does not apply to the next one of the same
//! endpoint.

mod requested_backoff;

use super::endpoint_notice::EndpointNotice;
use super::route_table::EndpointId;
use requested_backoff::RequestedBackoff;
use std::collections::HashMap;
use std::time::Duration;

/// A change that a notice causes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeUpdate {
    /// The endpoint announced for the first time that it is leaving.
    Leaving,
    /// The endpoint requested a backoff while none was in force.
    BackoffRequested(Duration),
}

/// The notices of one lifetime.
#[derive(Debug, Clone, Copy, Default)]
struct LifetimeNotices {
    is_leaving: bool,
    backoff: RequestedBackoff,
    /// When the report of another box that the endpoint is leaving expires.
    reported_until_ms: u64,
    /// When a notice was last received or the endpoint last had a record.
    seen_ms: u64,
}

/// The notices of endpoints by lifetime.
#[derive(Debug, Clone, Default)]
pub struct NoticeRegistry {
    notices: HashMap<EndpointId, LifetimeNotices>,
}

impl NoticeRegistry {
    /// How long the report of another box that an endpoint is leaving is trusted, in milliseconds.
    /// The report may be wrong; a box that received the notice itself repeats it once per second.
    const REPORT_TTL_MS: u64 = 5_000;
    /// How long notices of an endpoint without a record are kept, in milliseconds. The record may
    /// expire and be rewritten while the endpoint is running.
    const TTL_MS: u64 = 600_000;
    /// The maximum number of endpoints without a record whose notices are kept.
    const MAX_RETAINED: usize = 4_096;

    /// Applies a notice and returns the changes. `draw` is a random number from 0 to 1.
    pub fn receive(
        &mut self,
        id: EndpointId,
        notice: EndpointNotice,
        now_ms: u64,
        draw: f64,
    ) -> Vec<NoticeUpdate> {
        if notice.is_empty() {
            return Vec::new();
        }
        let known = self.notices.entry(id).or_default();
        known.seen_ms = now_ms;
        let mut updates = Vec::new();
        if notice.is_leaving && !std::mem::replace(&mut known.is_leaving, true) {
            updates.push(NoticeUpdate::Leaving);
        }
        if let Some(backoff) = notice.backoff {
            if known.backoff.remaining(now_ms).is_none() {
                updates.push(NoticeUpdate::BackoffRequested(backoff));
            }
            known.backoff.request(backoff, now_ms, draw);
        }
        updates
    }

    /// Applies the report of another box that a lifetime is leaving.
    pub fn receive_reported(&mut self, id: EndpointId, now_ms: u64) {
        let notice = self.notices.entry(id).or_default();
        notice.seen_ms = notice.seen_ms.max(now_ms);
        notice.reported_until_ms = now_ms + Self::REPORT_TTL_MS;
    }

    /// Returns whether a lifetime is leaving according to its own notice or the report of another
    /// box.
    pub fn is_reported_leaving(&self, id: EndpointId, now_ms: u64) -> bool {
        let notice = self.notices.get(&id);
        notice.is_some_and(|notice| notice.is_leaving || now_ms < notice.reported_until_ms)
    }

    /// Removes expired notices of lifetimes without a record, and the oldest beyond the bound.
    pub fn expire(&mut self, now_ms: u64, has_record: impl Fn(EndpointId) -> bool) {
        let mut unrecorded = Vec::new();
        for (id, notice) in &mut self.notices {
            match has_record(*id) {
                true => notice.seen_ms = now_ms,
                false => unrecorded.push((notice.seen_ms, *id)),
            }
        }
        unrecorded.sort_unstable();
        let surplus = unrecorded.len().saturating_sub(Self::MAX_RETAINED);
        let expired = unrecorded.into_iter().enumerate();
        let expired = expired
            .filter(|(index, (seen_ms, _))| *index < surplus || seen_ms + Self::TTL_MS <= now_ms);
        for (_, (_, id)) in expired {
            self.notices.remove(&id);
        }
    }

    /// Returns whether a lifetime announced that it is leaving.
    pub fn leaves(&self, id: EndpointId) -> bool {
        self.notices
            .get(&id)
            .is_some_and(|notice| notice.is_leaving)
    }

    /// Returns the lifetimes that announced to this box that they are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = EndpointId> {
        let leaving = self.notices.iter().filter(|(_, notice)| notice.is_leaving);
        leaving.map(|(id, _)| *id)
    }

    /// Returns the remaining backoff of a lifetime, or `None` if none is in force.
    pub fn remaining_backoff(&self, id: EndpointId, now_ms: u64) -> Option<Duration> {
        self.notices.get(&id)?.backoff.remaining(now_ms)
    }

    /// Returns whether the notices of a lifetime allow requests now.
    pub fn accepts_requests(&self, id: EndpointId, now_ms: u64) -> bool {
        !self.leaves(id) && self.remaining_backoff(id, now_ms).is_none()
    }

    /// Returns whether another request may be sent to a lifetime. After a backoff, a single request
    /// goes first as a probe.
    pub fn may_send(&self, id: EndpointId, now_ms: u64) -> bool {
        let notice = self.notices.get(&id);
        let may_send = notice.is_none_or(|notice| notice.backoff.may_send(now_ms));
        may_send && !self.is_reported_leaving(id, now_ms)
    }

    /// Records that a request is sent to a lifetime.
    pub fn note_sent(&mut self, id: EndpointId, now_ms: u64) {
        if let Some(notice) = self.notices.get_mut(&id) {
            notice.backoff.note_sent(now_ms);
        }
    }

    /// Records that a lifetime answered.
    pub fn note_answered(&mut self, id: EndpointId, now_ms: u64) {
        if let Some(notice) = self.notices.get_mut(&id) {
            notice.backoff.note_answered(now_ms);
        }
    }
}

#[cfg(test)]
mod tests;
