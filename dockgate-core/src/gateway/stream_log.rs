//! Decides how a box writes the versions of streams to the platform's store.
//!
//! Records are collected in segments, each of which is one key of the store. The newest segment is
//! rewritten while it is young, so that a record is stored soon and few keys exist; older ones are
//! left as they are and removed once all their records have expired. All keys are bound to one
//! lease. If it ends, or the store is restored from an older copy, all records are written again
//! under keys that were never used, since a call without an answer may be executed late.
//!
//! ```
//! use dockgate_core::gateway::{LogOutcome, LogStep, SoftwareVersion, StreamKey, StreamLog, StreamRecord};
//!
//! let mut log = StreamLog::default();
//! let record = StreamRecord {
//!     key: StreamKey::new("captions", "model", "r1"),
//!     workspace: 7,
//!     version: SoftwareVersion::from_name("v1"),
//!     life_ms: 30_000,
//! };
//! assert_eq!(log.next_step(1_000), LogStep::Idle);
//! log.append(record, 1_000);
//! assert_eq!(log.next_step(1_000), LogStep::AcquireLease);
//! log.record_lease(5, StreamLog::LEASE_MS, 1_000);
//! let LogStep::Write(batch) = log.next_step(1_000) else { panic!("a record is due") };
//! assert_eq!(batch.segments[0].streams, [record]);
//! log.record_batch(&batch, &LogOutcome::Done { revision: 9 });
//! assert!(log.is_stored(record.key));
//! ```

use super::software_version::SoftwareVersion;
use super::stream_key::StreamKey;
use super::stream_registry::{StreamRecord, StreamRegistry};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

/// What the writer has to do next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogStep {
    /// Nothing until a record is appended.
    Idle,
    /// Nothing until this time, unless a record is appended.
    WaitUntil(u64),
    /// Acquire a lease for [`StreamLog::LEASE_MS`].
    AcquireLease,
    /// Renew the lease with this id.
    RenewLease(u64),
    /// Write a batch.
    Write(LogBatch),
}

/// A segment to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentWrite {
    /// The number of the segment.
    pub number: u32,
    /// The revision that its key must have, or 0 if it must not exist.
    pub revision: u64,
    /// Its streams, with the time for which they can still be taken up.
    pub streams: Vec<StreamRecord>,
    /// The last change of the segment that is included.
    change: u32,
}

/// Segments to write and to remove in one transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogBatch {
    /// The lease of the segments to write; 0 if none is to be written.
    pub lease: u64,
    /// The segments to write.
    pub segments: Vec<SegmentWrite>,
    /// The numbers of the segments to remove.
    pub removed: Vec<u32>,
}

/// The revision of a segment's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SegmentRevision {
    /// The number of the segment.
    pub number: u32,
    /// The revision of its key.
    pub revision: u64,
}

/// The store's answer to a batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LogOutcome {
    /// It took effect.
    Done {
        /// The revision that it created.
        revision: u64,
    },
    /// A key does not have the expected revision, as a former batch took effect whose answer was
    /// lost. Contains the revisions of the keys that exist.
    Conflict(Vec<SegmentRevision>),
    /// The lease has ended, and all its keys are removed.
    NoLease,
}

/// A stream in a segment.
#[derive(Debug, Clone, Copy)]
struct LoggedStream {
    workspace: u64,
    version: SoftwareVersion,
    until_ms: u64,
    /// The change of the segment that included it.
    change: u32,
}

/// The content of one key.
#[derive(Debug, Default)]
struct StreamSegment {
    streams: BTreeMap<StreamKey, LoggedStream>,
    opened_ms: u64,
    /// When the last of its streams expires.
    until_ms: u64,
    /// The last known revision of its key.
    revision: u64,
    /// Whether a write was begun, so that the key may exist.
    is_begun: bool,
    /// The number of changes, and how many of them the store has acknowledged.
    changes: u32,
    stored_changes: u32,
}

impl StreamSegment {
    const fn is_pending(&self) -> bool {
        self.stored_changes < self.changes
    }

    fn insert(&mut self, key: StreamKey, stream: LoggedStream) {
        self.changes += 1;
        self.until_ms = self.until_ms.max(stream.until_ms);
        let change = self.changes;
        self.streams.insert(key, LoggedStream { change, ..stream });
    }

    fn write(&self, number: u32, now_ms: u64) -> SegmentWrite {
        let live = self.streams.iter();
        let live = live.filter(|(_, stream)| stream.until_ms > now_ms);
        let streams = live.map(|(key, stream)| StreamRecord {
            key: *key,
            workspace: stream.workspace,
            version: stream.version,
            life_ms: (stream.until_ms - now_ms) as u32,
        });
        SegmentWrite {
            number,
            revision: self.revision,
            streams: streams.collect(),
            change: self.changes,
        }
    }
}

/// The lease of all keys.
#[derive(Debug, Clone, Copy)]
struct LogLease {
    id: u64,
    ttl_ms: u64,
    /// When the last call that acquired or renewed it was sent.
    renewed_ms: u64,
    /// Whether it may have ended earlier than by this box's clock.
    is_doubtful: bool,
}

impl LogLease {
    fn renewal_ms(&self) -> u64 {
        match self.is_doubtful {
            true => 0,
            false => self.renewed_ms + StreamLog::RENEWAL_MS.min(self.ttl_ms / 4),
        }
    }
}

/// The streams whose versions this box keeps in the store.
#[derive(Debug, Default)]
pub struct StreamLog {
    segments: BTreeMap<u32, StreamSegment>,
    /// The segment of each stream.
    streams: HashMap<StreamKey, u32>,
    /// The streams of each workspace, oldest first; some may be expired.
    order: HashMap<u64, VecDeque<StreamKey>>,
    /// The segments whose keys may exist and are no longer needed.
    obsolete: BTreeSet<u32>,
    next_number: u32,
    lease: Option<LogLease>,
    /// The era of the store, once it is known.
    era: Option<u64>,
    /// When the last write began.
    written_ms: Option<u64>,
    /// When the next call may begin after a failed one.
    retry_ms: u64,
    /// When single streams were last checked for their expiry.
    checked_ms: u64,
}

impl StreamLog {
    /// The time to live of the lease, in milliseconds. The records of a box outlive it by this time,
    /// reduced by [`RENEWAL_MS`](Self::RENEWAL_MS).
    pub const LEASE_MS: u64 = 120_000;
    /// The interval between renewals of the lease, in milliseconds.
    pub const RENEWAL_MS: u64 = 20_000;
    /// The minimum interval between two writes, in milliseconds.
    pub const WRITE_INTERVAL_MS: u64 = 150;
    /// The minimum interval before a write that only removes segments, in milliseconds.
    pub const REMOVAL_INTERVAL_MS: u64 = 2_000;
    /// How long a stored segment is extended by further streams, in milliseconds.
    pub const OPEN_MS: u64 = 2_000;
    /// The maximum number of streams in a segment, about 3 kB.
    pub const MAX_SEGMENT_STREAMS: usize = 128;
    /// The maximum number of streams.
    pub const MAX_STREAMS: usize = StreamRegistry::MAX_STREAMS;
    /// The number of segments above which the smallest one is merged into another. On average, they
    /// hold at most two thirds of their maximum then, so that a new segment has room for it.
    pub const MAX_SEGMENTS: usize = Self::MAX_STREAMS / Self::MAX_SEGMENT_STREAMS * 3 / 2;
    /// The maximum number of segments written at once.
    pub const MAX_BATCH_SEGMENTS: usize = 8;
    /// The maximum number of conditions, writes and removals in a transaction.
    pub const MAX_BATCH_ENTRIES: usize = 32;
    /// How much longer a known stream has to live for its record to be written again, in
    /// milliseconds: repeated reports differ by their delays.
    const MIN_EXTENSION_MS: u64 = 1_000;
    /// The minimum interval between checks of single streams for their expiry, in milliseconds.
    const CHECK_INTERVAL_MS: u64 = 1_000;

    /// Adds a stream. The version of a known one never changes.
    pub fn append(&mut self, record: StreamRecord, now_ms: u64) {
        let stream = LoggedStream {
            workspace: record.workspace,
            version: record.version,
            until_ms: now_ms + u64::from(record.life_ms),
            change: 0,
        };
        let number = self.streams.get(&record.key);
        let segment = number.and_then(|number| self.segments.get_mut(number));
        let known = segment
            .as_ref()
            .and_then(|segment| segment.streams.get(&record.key).copied());
        match (segment, known) {
            (Some(segment), Some(known)) => {
                if known.until_ms + Self::MIN_EXTENSION_MS < stream.until_ms {
                    let until_ms = stream.until_ms;
                    segment.insert(record.key, LoggedStream { until_ms, ..known });
                }
            }
            _ if record.life_ms == 0 => {}
            _ => {
                self.evict(now_ms);
                let order = self.order.entry(record.workspace).or_default();
                order.push_back(record.key);
                self.insert(record.key, stream, now_ms);
            }
        }
    }

    /// Inserts a stream into the newest segment, or into a new one if that is full or no longer
    /// young.
    fn insert(&mut self, key: StreamKey, stream: LoggedStream, now_ms: u64) {
        let newest = self.segments.last_entry();
        let open = newest.filter(|entry| {
            let segment = entry.get();
            let is_young = segment.opened_ms + Self::OPEN_MS > now_ms;
            let is_stored = segment.stored_changes > 0;
            segment.streams.len() < Self::MAX_SEGMENT_STREAMS && (is_young || !is_stored)
        });
        match open {
            Some(mut open) => {
                self.streams.insert(key, *open.key());
                open.get_mut().insert(key, stream);
            }
            None => {
                let number = self.next_number;
                self.next_number += 1;
                let mut segment = StreamSegment {
                    opened_ms: now_ms,
                    ..StreamSegment::default()
                };
                segment.insert(key, stream);
                self.segments.insert(number, segment);
                self.streams.insert(key, number);
                self.merge_smallest(number, now_ms);
            }
        }
    }

    /// Moves the streams of the smallest segment into the new one if there are too many segments.
    fn merge_smallest(&mut self, new: u32, now_ms: u64) {
        if self.segments.len() <= Self::MAX_SEGMENTS {
            return;
        }
        let others = self.segments.iter().filter(|(number, _)| **number != new);
        let smallest = others.min_by_key(|(_, segment)| segment.streams.len());
        let smallest = smallest.map(|(number, _)| *number);
        if let Some(segment) = smallest.and_then(|number| self.remove_segment(number)) {
            for (key, stream) in segment.streams {
                self.insert(key, stream, now_ms);
            }
        }
    }

    /// Removes a segment; its key is removed from the store later.
    fn remove_segment(&mut self, number: u32) -> Option<StreamSegment> {
        let segment = self.segments.remove(&number)?;
        if segment.is_begun {
            self.obsolete.insert(number);
        }
        Some(segment)
    }

    fn remove_stream(&mut self, key: StreamKey) {
        let Some(number) = self.streams.remove(&key) else {
            return;
        };
        let segment = self.segments.get_mut(&number);
        let is_empty = segment.is_some_and(|segment| {
            segment.streams.remove(&key);
            segment.streams.is_empty()
        });
        if is_empty {
            self.remove_segment(number);
        }
    }

    /// Makes room for a stream by evicting the oldest ones of the workspace with the most streams,
    /// so that no workspace evicts the streams of one that has fewer.
    fn evict(&mut self, now_ms: u64) {
        let is_full = self.streams.len() >= Self::MAX_STREAMS;
        if is_full && self.checked_ms + Self::CHECK_INTERVAL_MS <= now_ms {
            self.checked_ms = now_ms;
            self.remove_expired_streams(now_ms);
        }
        while self.streams.len() >= Self::MAX_STREAMS {
            let largest = self.order.values_mut().max_by_key(|keys| keys.len());
            let Some(key) = largest.and_then(VecDeque::pop_front) else {
                return;
            };
            self.remove_stream(key);
        }
    }

    fn remove_expired_streams(&mut self, now_ms: u64) {
        let segments = self.segments.values();
        let streams = segments.flat_map(|segment| &segment.streams);
        let expired = streams.filter(|(_, stream)| stream.until_ms <= now_ms);
        let expired: Vec<StreamKey> = expired.map(|(key, _)| *key).collect();
        expired.into_iter().for_each(|key| self.remove_stream(key));
        self.clean_order();
    }

    fn clean_order(&mut self) {
        let streams = &self.streams;
        self.order.retain(|_, keys| {
            keys.retain(|key| streams.contains_key(key));
            !keys.is_empty()
        });
    }

    /// Removes the segments of which all streams have expired.
    fn remove_expired_segments(&mut self, now_ms: u64) {
        let segments = self.segments.iter();
        let expired = segments.filter(|(_, segment)| segment.until_ms <= now_ms);
        let expired: Vec<u32> = expired.map(|(number, _)| *number).collect();
        for number in &expired {
            let segment = self.remove_segment(*number).unwrap_or_default();
            for key in segment.streams.keys() {
                self.streams.remove(key);
            }
        }
        if !expired.is_empty() {
            self.clean_order();
        }
    }

    /// Decides what to do next. Each step is followed by the call that records its result.
    pub fn next_step(&mut self, now_ms: u64) -> LogStep {
        self.remove_expired_segments(now_ms);
        let has_pending = self.segments.values().any(StreamSegment::is_pending);
        let has_stored = self.segments.values().any(|segment| segment.is_begun);
        let lease = self.lease.filter(|_| has_stored);
        let renewal_ms = lease.map(|lease| lease.renewal_ms().max(self.retry_ms));
        let interval_ms = match (has_pending, self.obsolete.is_empty()) {
            (true, _) => Some(Self::WRITE_INTERVAL_MS),
            (false, false) => Some(Self::REMOVAL_INTERVAL_MS),
            (false, true) => None,
        };
        let after_last = |interval_ms| self.written_ms.map_or(0, |last_ms| last_ms + interval_ms);
        let write_ms = interval_ms.map(|interval_ms| after_last(interval_ms).max(self.retry_ms));
        let is_due = |due_ms: Option<u64>| due_ms.is_some_and(|due_ms| due_ms <= now_ms);
        match (lease, self.usable_lease(now_ms)) {
            (Some(lease), _) if is_due(renewal_ms) => LogStep::RenewLease(lease.id),
            (_, None) if is_due(write_ms) && has_pending => LogStep::AcquireLease,
            (_, usable) if is_due(write_ms) => LogStep::Write(self.create_batch(usable, now_ms)),
            _ => {
                let expiry_ms = self.segments.values().map(|segment| segment.until_ms).min();
                let next_ms = [renewal_ms, write_ms, expiry_ms]
                    .into_iter()
                    .flatten()
                    .min();
                next_ms.map_or(LogStep::Idle, LogStep::WaitUntil)
            }
        }
    }

    /// Returns the id of the lease, unless it has ended by this box's clock.
    fn usable_lease(&self, now_ms: u64) -> Option<u64> {
        let lease = self.lease?;
        (now_ms < lease.renewed_ms + lease.ttl_ms).then_some(lease.id)
    }

    fn create_batch(&mut self, lease: Option<u64>, now_ms: u64) -> LogBatch {
        self.written_ms = Some(now_ms);
        // The newest streams run for longest.
        let pending = self.segments.iter_mut().rev();
        let mut pending = pending.filter(|(_, segment)| segment.is_pending());
        let written = pending.by_ref().take(Self::MAX_BATCH_SEGMENTS);
        let segments: Vec<SegmentWrite> = written
            .map(|(number, segment)| {
                segment.is_begun = true;
                segment.write(*number, now_ms)
            })
            .collect();
        // An obsolete segment may hold the only copy of streams whose new segment is not stored yet.
        let room = match pending.next() {
            Some(_) => 0,
            None => Self::MAX_BATCH_ENTRIES - 2 * segments.len(),
        };
        LogBatch {
            lease: lease.filter(|_| !segments.is_empty()).unwrap_or_default(),
            segments,
            removed: self.obsolete.iter().copied().take(room).collect(),
        }
    }

    /// Records a lease that was acquired by a call sent at `sent_ms`.
    pub fn record_lease(&mut self, id: u64, ttl_ms: u64, sent_ms: u64) {
        self.retry_ms = 0;
        self.lease = Some(LogLease {
            id,
            ttl_ms,
            renewed_ms: sent_ms,
            is_doubtful: false,
        });
    }

    /// Records whether a lease was renewed by a call sent at `sent_ms`, or had ended.
    pub fn record_renewal(&mut self, id: u64, is_renewed: bool, sent_ms: u64, now_ms: u64) {
        let lease = self.lease.as_mut().filter(|lease| lease.id == id);
        match (lease, is_renewed) {
            (None, _) => {}
            (Some(lease), true) => {
                lease.renewed_ms = sent_ms;
                lease.is_doubtful = false;
            }
            (Some(_), false) => self.lose_lease(now_ms),
        }
    }

    /// Records the store's answer to a batch.
    pub fn record_batch(&mut self, batch: &LogBatch, outcome: &LogOutcome) {
        self.retry_ms = 0;
        match outcome {
            LogOutcome::Done { revision } => {
                for written in &batch.segments {
                    if let Some(segment) = self.segments.get_mut(&written.number) {
                        segment.revision = *revision;
                        segment.stored_changes = segment.stored_changes.max(written.change);
                    }
                }
                for number in &batch.removed {
                    self.obsolete.remove(number);
                }
            }
            LogOutcome::Conflict(existing) => {
                for written in &batch.segments {
                    let found = existing.iter().find(|found| found.number == written.number);
                    if let Some(segment) = self.segments.get_mut(&written.number) {
                        segment.revision = found.map_or(0, |found| found.revision);
                    }
                }
            }
            LogOutcome::NoLease => {
                let is_current = self.lease.is_some_and(|lease| lease.id == batch.lease);
                if is_current {
                    self.lose_lease(self.written_ms.unwrap_or_default());
                }
            }
        }
    }

    /// Records that a call failed or has no answer; the next one begins at `retry_ms`.
    pub const fn record_failure(&mut self, retry_ms: u64) {
        self.retry_ms = retry_ms;
    }

    /// Records that the store answers again after an outage, or that this box was suspended: the
    /// next call begins at once, and the lease may have ended.
    pub fn record_recovery(&mut self) {
        self.retry_ms = 0;
        if let Some(lease) = &mut self.lease {
            lease.is_doubtful = true;
        }
    }

    /// Records the era of the store. In a new one, all streams are written again: the store may
    /// lack them, and its leases and revisions are numbered as before.
    pub fn record_era(&mut self, era: u64, now_ms: u64) {
        let known = self.era.unwrap_or(era);
        self.era = Some(era.max(known));
        if era <= known {
            return;
        }
        self.lease = None;
        let begun = self.segments.iter();
        let begun = begun.filter(|(_, segment)| segment.is_begun);
        self.obsolete.extend(begun.map(|(number, _)| *number));
        self.rewrite(now_ms);
    }

    /// Writes all streams again under a new lease; the keys of the former one are gone.
    fn lose_lease(&mut self, now_ms: u64) {
        self.lease = None;
        self.rewrite(now_ms);
    }

    /// Moves all streams that are not expired into new segments, whose numbers were never used.
    fn rewrite(&mut self, now_ms: u64) {
        self.streams.clear();
        for segment in std::mem::take(&mut self.segments).into_values() {
            let live = segment.streams.into_iter();
            for (key, stream) in live.filter(|(_, stream)| stream.until_ms > now_ms) {
                self.insert(key, stream, now_ms);
            }
        }
        self.clean_order();
    }

    /// Returns whether the store has acknowledged a stream.
    pub fn is_stored(&self, key: StreamKey) -> bool {
        let number = self.streams.get(&key);
        let segment = number.and_then(|number| self.segments.get(number));
        segment.is_some_and(|segment| {
            let stream = segment.streams.get(&key);
            stream.is_some_and(|stream| stream.change <= segment.stored_changes)
        })
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }

    /// Returns the number of streams that the store has acknowledged.
    pub fn stored_count(&self) -> usize {
        let segments = self.segments.values();
        let counts = segments.map(|segment| {
            let streams = segment.streams.values();
            streams
                .filter(|stream| stream.change <= segment.stored_changes)
                .count()
        });
        counts.sum()
    }

    /// Returns the number of keys that may exist in the store.
    pub fn key_count(&self) -> usize {
        let begun = self.segments.values().filter(|segment| segment.is_begun);
        begun.count() + self.obsolete.len()
    }
}

#[cfg(test)]
mod tests;
