//! The software versions at which streams began, at this box and at others.
//!
//! A caller that takes up a stream may reach any box. The box that forwards the first event of a
//! stream records its version and reports it to a few other boxes, while the service has more than
//! one version. Records are kept in memory for as long as the stream can be taken up.
//!
//! ```
//! use dockgate_core::gateway::{SoftwareVersion, StreamKey, StreamRecord, StreamRegistry};
//!
//! let mut registry = StreamRegistry::default();
//! let record = StreamRecord {
//!     key: StreamKey::new("captions", "model", "r1"),
//!     workspace: 7,
//!     version: SoftwareVersion::from_name("v1"),
//!     life_ms: 30_000,
//! };
//! registry.receive(record, 1_000);
//! assert_eq!(registry.version(record.key, 2_000), Some(record.version));
//! assert_eq!(registry.version(record.key, 31_001), None);
//! ```

use super::software_version::SoftwareVersion;
use super::stream_key::StreamKey;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};

/// The version at which a stream began, as one box reports it to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamRecord {
    /// The stream.
    pub key: StreamKey,
    /// The hash of its workspace's name.
    pub workspace: u64,
    /// The version of the endpoint that sent its first event.
    pub version: SoftwareVersion,
    /// For how much longer the stream can be taken up, in milliseconds.
    pub life_ms: u32,
}

/// A stream whose version is known.
#[derive(Debug, Clone, Copy)]
struct KnownStream {
    workspace: u64,
    version: SoftwareVersion,
    until_ms: u64,
}

/// The streams whose versions this box knows.
#[derive(Debug, Default)]
pub struct StreamRegistry {
    streams: HashMap<StreamKey, KnownStream>,
    /// The streams of each workspace, oldest first; some may be expired.
    order: HashMap<u64, VecDeque<StreamKey>>,
    /// The streams of this box that were not reported to other boxes yet, with the hashes of their
    /// services' names.
    unreported: Vec<(StreamKey, u64)>,
}

impl StreamRegistry {
    /// The maximum number of streams, about 2 MB.
    pub const MAX_STREAMS: usize = 16_384;

    /// Records a stream whose first event this box forwards; `service` is the hash of the service's
    /// name.
    pub fn record_begun(&mut self, record: StreamRecord, service: u64, now_ms: u64) {
        if self.insert(record, now_ms) {
            self.unreported.push((record.key, service));
        }
    }

    /// Records a stream that another box reports.
    pub fn receive(&mut self, record: StreamRecord, now_ms: u64) {
        self.insert(record, now_ms);
    }

    /// Inserts a stream and returns whether it is new. The version of a known one never changes.
    fn insert(&mut self, record: StreamRecord, now_ms: u64) -> bool {
        let StreamRecord {
            key,
            workspace,
            version,
            life_ms,
        } = record;
        let until_ms = now_ms + u64::from(life_ms);
        if let Some(known) = self.streams.get_mut(&key) {
            known.until_ms = known.until_ms.max(until_ms);
            return false;
        }
        self.evict();
        let known = KnownStream {
            workspace,
            version,
            until_ms,
        };
        self.streams.insert(key, known);
        self.order.entry(workspace).or_default().push_back(key);
        true
    }

    /// Makes room for a stream in a full registry by evicting the oldest ones of the workspace with
    /// the most streams, so that no workspace evicts the streams of one that has fewer.
    fn evict(&mut self) {
        while self.streams.len() >= Self::MAX_STREAMS {
            let largest = self.order.values_mut().max_by_key(|keys| keys.len());
            let Some(key) = largest.and_then(VecDeque::pop_front) else {
                return;
            };
            self.streams.remove(&key);
        }
    }

    /// Returns the version at which a stream began, if it is known.
    pub fn version(&self, key: StreamKey, now_ms: u64) -> Option<SoftwareVersion> {
        let known = self.streams.get(&key);
        let known = known.filter(|known| known.until_ms >= now_ms);
        known.map(|known| known.version)
    }

    /// Returns the version at which a stream began that its caller tries to take up, and keeps it
    /// for another `life_ms` milliseconds, since the caller may try again.
    pub fn look_up(
        &mut self,
        key: StreamKey,
        life_ms: u32,
        now_ms: u64,
    ) -> Option<SoftwareVersion> {
        let version = self.version(key, now_ms)?;
        let known = self.streams.get_mut(&key)?;
        known.until_ms = known.until_ms.max(now_ms + u64::from(life_ms));
        Some(version)
    }

    /// Returns the streams of this box that were not reported yet and whose service is due, and
    /// counts them as reported.
    pub fn take_unreported(
        &mut self,
        is_due: impl Fn(u64) -> bool,
        now_ms: u64,
    ) -> Vec<StreamRecord> {
        let streams = &self.streams;
        let mut due = Vec::new();
        self.unreported.retain(|(key, service)| {
            let known = streams.get(key).filter(|known| known.until_ms > now_ms);
            match known {
                Some(_) if !is_due(*service) => true,
                Some(known) => {
                    due.push(StreamRecord {
                        key: *key,
                        workspace: known.workspace,
                        version: known.version,
                        life_ms: (known.until_ms - now_ms) as u32,
                    });
                    false
                }
                None => false,
            }
        });
        due
    }

    /// Removes the streams that can no longer be taken up.
    pub fn expire(&mut self, now_ms: u64) {
        self.streams.retain(|_, known| known.until_ms >= now_ms);
        let streams = &self.streams;
        self.order.retain(|_, keys| {
            keys.retain(|key| streams.contains_key(key));
            !keys.is_empty()
        });
        self.unreported.retain(|(key, _)| streams.contains_key(key));
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

#[cfg(test)]
mod tests;
