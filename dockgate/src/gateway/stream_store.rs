//! Keeps the versions at which streams began in the platform's store, while a service has several.
//!
//! After all boxes have lost their memory, a stream that its caller takes up goes on at the version
//! in the store. One box of a failure domain writes the streams of all ([`StreamLog`]); any box
//! reads them when it does not know a stream.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::store_contact::StoreContact;
use crate::clock::{ClockInstant, now_ms, subscribe_resumes, timeout_at};
use dockgate_core::gateway::{
    LogBatch, LogOutcome, LogStep, SegmentRevision, StreamKey, StreamLog, StreamRecord,
};
use dockgate_platform::{
    BatchOutcome, BatchWrite, PlatformClient, PlatformError, STREAMS_KEY_PREFIX, StoreListing,
    decode_streams, encode_streams, streams_key,
};
use std::collections::HashMap;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, watch};

/// The names of the calls in metrics and logs.
const WRITE_STEP: &str = "streams_write";
const LIST_STEP: &str = "streams_list";
/// The delay after a failed write, in milliseconds; random, so that boxes do not retry in step. It
/// doubles with each further failure, up to the number of times.
const RETRY_MS: Range<u64> = 150..450;
const RETRY_DOUBLINGS: u32 = 2;
/// How long a listing is used by callers that ask for one after it.
const LISTING_VALID: Duration = Duration::from_secs(2);
/// The pause after a failed listing.
const LISTING_PAUSE: Duration = Duration::from_millis(200);

/// Has this box write streams to the store, in the background.
pub(super) fn append_streams(state: &GatewayState, streams: &[StreamRecord]) {
    if streams.is_empty() {
        return;
    }
    let now = now_ms();
    state.with(|view| {
        for record in streams {
            view.stream_log.append(*record, now);
        }
    });
    state.streams_appended.notify_one();
}

/// Writes the appended streams until the process ends; makes no calls while there are none.
pub(super) async fn write_streams(state: Arc<GatewayState>) {
    let client = state.store_client();
    let mut contact = StoreContact::new(WRITE_STEP, state.settings().drain);
    let mut recoveries = state.store_recoveries();
    let mut resumes = subscribe_resumes();
    let mut failures = 0;
    loop {
        let now = now_ms();
        let step = state.with(|view| {
            let era = view.eras.current();
            // The era is 0 until the store has answered.
            if era > 0 {
                view.stream_log.record_era(era, now);
            }
            view.stream_log.next_step(now)
        });
        let wait = match &step {
            LogStep::Idle => None,
            LogStep::WaitUntil(until_ms) => Some(until_ms.saturating_sub(now)),
            LogStep::AcquireLease | LogStep::RenewLease(_) | LogStep::Write(_) => {
                match take_step(&state, &client, &step).await {
                    Ok(()) => {
                        contact.record_answer();
                        failures = 0;
                    }
                    Err(error) => {
                        contact.record_failure(&error);
                        record_failure(&state, failures);
                        failures += 1;
                    }
                }
                continue;
            }
        };
        let waited = async {
            match wait {
                Some(wait_ms) => tokio::time::sleep(Duration::from_millis(wait_ms)).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = waited => {}
            () = state.streams_appended.notified() => {}
            // The channels are never closed.
            _ = recoveries.changed() => state.with(|view| view.stream_log.record_recovery()),
            _ = resumes.changed() => state.with(|view| view.stream_log.record_recovery()),
        }
    }
}

fn record_failure(state: &GatewayState, failures: u32) {
    let pause_ms = rand::random_range(RETRY_MS) << failures.min(RETRY_DOUBLINGS);
    state.with(|view| view.stream_log.record_failure(now_ms() + pause_ms));
}

/// Makes the call of a step and records its result.
async fn take_step(
    state: &GatewayState,
    client: &PlatformClient,
    step: &LogStep,
) -> Result<(), PlatformError> {
    let sent_ms = now_ms();
    match step {
        LogStep::Idle | LogStep::WaitUntil(_) => {}
        LogStep::AcquireLease => {
            let lease = client
                .lease(Duration::from_millis(StreamLog::LEASE_MS))
                .await?;
            state.with(|view| {
                let log = &mut view.stream_log;
                log.record_lease(lease.id, lease.ttl_ms, sent_ms);
            });
        }
        LogStep::RenewLease(id) => {
            let is_renewed = client.renew(*id).await?;
            state.with(|view| {
                let log = &mut view.stream_log;
                log.record_renewal(*id, is_renewed, sent_ms, now_ms());
            });
        }
        LogStep::Write(batch) => {
            let (outcome, era) = write_batch(state, client, batch).await?;
            let era = current_era(state, era, WRITE_STEP)?;
            state.with(|view| {
                let log = &mut view.stream_log;
                // A new era invalidates the outcome.
                log.record_era(era, now_ms());
                log.record_batch(batch, &outcome);
            });
        }
    }
    Ok(())
}

/// Records the era in an answer of the store and returns it.
///
/// # Errors
///
/// Returns an error if it is an earlier era than the known one, whose data is outdated.
fn current_era(
    state: &GatewayState,
    reported: Option<u64>,
    step: &'static str,
) -> Result<u64, PlatformError> {
    state.record_era(reported, step).ok_or_else(|| {
        let cause = "the answer is of an earlier era of the store".to_owned();
        PlatformError::Malformed(step, STREAMS_KEY_PREFIX.to_owned(), cause)
    })
}

/// Writes a batch; returns the outcome and the era of the store.
async fn write_batch(
    state: &GatewayState,
    client: &PlatformClient,
    batch: &LogBatch,
) -> Result<(LogOutcome, Option<u64>), PlatformError> {
    let key = |number| streams_key(state.own_key(), state.incarnation(), number);
    let writes = batch.segments.iter().map(|segment| BatchWrite {
        key: key(segment.number),
        value: encode_streams(&segment.streams),
        revision: segment.revision,
    });
    let removed = batch.removed.iter().map(|number| key(*number));
    let answer = client
        .write_batch(writes.collect(), removed.collect(), batch.lease)
        .await?;
    let outcome = match answer.outcome {
        BatchOutcome::Done(revision) => LogOutcome::Done { revision },
        BatchOutcome::NoLease => LogOutcome::NoLease,
        BatchOutcome::Conflict(items) => {
            let existing = batch.segments.iter().filter_map(|segment| {
                let number = segment.number;
                let item = items.iter().find(|item| item.key == key(number))?;
                let revision = item.revision;
                Some(SegmentRevision { number, revision })
            });
            LogOutcome::Conflict(existing.collect())
        }
    };
    Ok((outcome, answer.era))
}

/// The streams that a listing of the store has found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct StreamsLoaded {
    /// The streams in the store. They may be more than this box can keep.
    streams: HashMap<StreamKey, StreamRecord>,
    /// The number of values that could not be read.
    pub(super) unreadable: usize,
    /// The era of the store.
    pub(super) era: u64,
}

impl StreamsLoaded {
    /// Returns the record of a stream.
    pub(super) fn record(&self, stream: StreamKey) -> Option<StreamRecord> {
        self.streams.get(&stream).copied()
    }
}

/// The result of a listing, which several callers share.
type ListingResult = Result<Arc<StreamsLoaded>, Arc<PlatformError>>;

/// A listing that has ended.
#[derive(Debug, Clone)]
struct EndedListing {
    begun: ClockInstant,
    ended: ClockInstant,
    result: ListingResult,
}

/// The listings of the stored streams.
#[derive(Debug, Default)]
pub(super) struct StreamListings {
    requested: Notify,
    last: watch::Sender<Option<EndedListing>>,
}

/// Lists the stored streams.
///
/// Concurrent callers share a listing that begins after they asked. A listing that succeeded a
/// moment ago is used as it is.
///
/// # Errors
///
/// Returns an error if the store does not answer until the deadline, or answers with an error.
pub(super) async fn load_streams(state: &GatewayState, deadline: ClockInstant) -> ListingResult {
    let asked = ClockInstant::now();
    let mut last = state.stream_listings.last.subscribe();
    let is_recent = |listing: &EndedListing| {
        listing.result.is_ok() && asked.duration_since(listing.ended) < LISTING_VALID
    };
    let recent = last.borrow().clone().filter(is_recent);
    if let Some(listing) = recent {
        return listing.result;
    }
    state.stream_listings.requested.notify_one();
    let is_answer = |listing: &Option<EndedListing>| {
        listing
            .as_ref()
            .is_some_and(|listing| listing.begun >= asked)
    };
    match timeout_at(deadline, last.wait_for(is_answer)).await {
        Ok(Ok(listing)) => match &*listing {
            Some(listing) => listing.result.clone(),
            None => Err(no_answer(state)),
        },
        // The sender lives as long as the state.
        Ok(Err(_)) | Err(_) => Err(no_answer(state)),
    }
}

fn no_answer(state: &GatewayState) -> Arc<PlatformError> {
    let peer = state.settings().store.to_string();
    Arc::new(PlatformError::TimedOut(LIST_STEP, peer))
}

/// Lists the stored streams whenever callers ask for them, until the process ends.
pub(super) async fn list_streams(state: Arc<GatewayState>) {
    let client = state.store_client();
    loop {
        state.stream_listings.requested.notified().await;
        let begun = ClockInstant::now();
        let listing = client.list(STREAMS_KEY_PREFIX).await;
        let outcome = if listing.is_ok() {
            "answered"
        } else {
            "failed"
        };
        let counter = &GATEWAY_METRICS.store_calls;
        counter.with_label_values(&[LIST_STEP, outcome]).inc();
        let result = listing.and_then(|listing| read_listing(&state, &listing));
        let has_failed = result.is_err();
        state.stream_listings.last.send_replace(Some(EndedListing {
            begun,
            ended: ClockInstant::now(),
            result: result.map(Arc::new).map_err(Arc::new),
        }));
        if has_failed {
            tokio::time::sleep(LISTING_PAUSE).await;
        }
    }
}

/// Decodes the streams of a listing.
fn read_listing(
    state: &GatewayState,
    listing: &StoreListing,
) -> Result<StreamsLoaded, PlatformError> {
    let (mut streams, mut unreadable) = (HashMap::new(), 0);
    for item in &listing.items {
        match decode_streams(&item.key, &item.bytes) {
            Ok(records) => streams.extend(records.into_iter().map(|record| (record.key, record))),
            Err(error) => {
                unreadable += 1;
                log_gateway(&GatewayEvent::Unreadable {
                    what: &item.key,
                    problem: error.to_string(),
                });
            }
        }
    }
    GATEWAY_METRICS.loaded_streams.inc_by(streams.len() as u64);
    log_gateway(&GatewayEvent::StreamsLoaded {
        streams: streams.len(),
        unreadable,
        revision: listing.revision,
    });
    let era = state.record_era(listing.era, LIST_STEP).ok_or_else(|| {
        let cause = "the answer is of an earlier era of the store".to_owned();
        PlatformError::Malformed(LIST_STEP, STREAMS_KEY_PREFIX.to_owned(), cause)
    })?;
    Ok(StreamsLoaded {
        streams,
        unreadable,
        era,
    })
}

#[cfg(test)]
mod tests;
