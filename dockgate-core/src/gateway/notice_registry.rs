//! What endpoints have said of themselves in their answers to this box, by lifetime.
//!
//! It is kept apart from the records of endpoints and from the trust in them: a record that is written, lapses and
//! comes back says nothing of it, and neither does a request that ends well or fails. That a lifetime leaves is
//! final; a rest ends with its time. What was said by one lifetime does not count for the next one under its id.

mod requested_backoff;

use super::endpoint_notice::EndpointNotice;
use super::route_table::EndpointId;
use requested_backoff::RequestedBackoff;
use std::collections::HashMap;
use std::time::Duration;

/// What is new in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoticeUpdate {
    /// The endpoint says for the first time that it leaves.
    Leaving,
    /// It asks for rest and had none, or had rested by then.
    BackoffRequested(Duration),
}

/// What one lifetime has said.
#[derive(Debug, Clone, Copy, Default)]
struct ReceivedNotice {
    leaves: bool,
    rest: RequestedBackoff,
    /// Until when another box's word that it leaves counts.
    reported_until_ms: u64,
    /// When it was heard, or had a record, last.
    seen_ms: u64,
}

/// What endpoints have said of themselves.
#[derive(Debug, Clone, Default)]
pub struct NoticeRegistry {
    heard: HashMap<EndpointId, ReceivedNotice>,
}

impl NoticeRegistry {
    /// For how long, in milliseconds, another box's word that an endpoint leaves counts here. It may be wrong, and a box
    /// that hears the endpoint itself says so anew. A bound.
    const REPORT_TTL_MS: u64 = 5_000;
    /// For how long, in milliseconds, it is remembered of an endpoint without a record that it leaves: a record may
    /// lapse and be written again while the endpoint goes on, and its last answers come as long after. A bound.
    const RETENTION_MS: u64 = 600_000;
    /// Of how many endpoints without a record this is remembered.
    const MAX_RETAINED: usize = 4_096;

    /// Takes in what an answer says; returns what is new in it. `draw` is a random number from 0 to 1.
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
        let heard = self.heard.entry(id).or_default();
        heard.seen_ms = now_ms;
        let mut news = Vec::new();
        if notice.is_leaving && !std::mem::replace(&mut heard.leaves, true) {
            news.push(NoticeUpdate::Leaving);
        }
        if let Some(rest) = notice.backoff {
            if heard.rest.remaining(now_ms).is_none() {
                news.push(NoticeUpdate::BackoffRequested(rest));
            }
            heard.rest.request(rest, now_ms, draw);
        }
        news
    }

    /// Takes in another box's word that a lifetime leaves.
    pub fn receive_reported(&mut self, id: EndpointId, now_ms: u64) {
        let heard = self.heard.entry(id).or_default();
        heard.seen_ms = heard.seen_ms.max(now_ms);
        heard.reported_until_ms = now_ms + Self::REPORT_TTL_MS;
    }

    /// Tells whether a lifetime leaves, by its own word or by that of another box.
    pub fn is_reported_leaving(&self, id: EndpointId, now_ms: u64) -> bool {
        let heard = self.heard.get(&id);
        heard.is_some_and(|heard| heard.leaves || now_ms < heard.reported_until_ms)
    }

    /// Forgets what was said long ago by lifetimes that have no record, and the oldest of it where it is too much.
    pub fn expire(&mut self, now_ms: u64, has_record: impl Fn(EndpointId) -> bool) {
        let mut gone = Vec::new();
        for (id, heard) in &mut self.heard {
            match has_record(*id) {
                true => heard.seen_ms = now_ms,
                false => gone.push((heard.seen_ms, *id)),
            }
        }
        gone.sort_unstable();
        let surplus = gone.len().saturating_sub(Self::MAX_RETAINED);
        let forgotten = gone.into_iter().enumerate();
        let forgotten = forgotten.filter(|(index, (seen_ms, _))| {
            *index < surplus || seen_ms + Self::RETENTION_MS <= now_ms
        });
        for (_, (_, id)) in forgotten {
            self.heard.remove(&id);
        }
    }

    /// Tells whether a lifetime has said that it leaves.
    pub fn is_leaving(&self, id: EndpointId) -> bool {
        self.heard.get(&id).is_some_and(|heard| heard.leaves)
    }

    /// Returns for how long a lifetime wants nothing from this box, where it does.
    pub fn remaining_backoff(&self, id: EndpointId, now_ms: u64) -> Option<Duration> {
        self.heard.get(&id)?.rest.remaining(now_ms)
    }

    /// Tells whether a lifetime has said nothing that forbids to send it a request now.
    pub fn accepts_requests(&self, id: EndpointId, now_ms: u64) -> bool {
        !self.is_leaving(id) && self.remaining_backoff(id, now_ms).is_none()
    }

    /// Tells whether a request may be sent to a lifetime beside those that it has: after a rest one goes ahead.
    pub fn may_send(&self, id: EndpointId, now_ms: u64) -> bool {
        let heard = self.heard.get(&id);
        let may_send = heard.is_none_or(|heard| heard.rest.may_send(now_ms));
        may_send && !self.is_reported_leaving(id, now_ms)
    }

    /// Notes that a request is sent to a lifetime.
    pub fn note_sent(&mut self, id: EndpointId, now_ms: u64) {
        if let Some(heard) = self.heard.get_mut(&id) {
            heard.rest.note_sent(now_ms);
        }
    }

    /// Notes that a lifetime answered.
    pub fn note_answered(&mut self, id: EndpointId, now_ms: u64) {
        if let Some(heard) = self.heard.get_mut(&id) {
            heard.rest.note_answered(now_ms);
        }
    }
}

#[cfg(test)]
mod tests;
