//! Keeps the ledger of the software versions of services in the platform's store.
//!
//! The ledger shows at which versions streams may have begun, also to a box that has just started,
//! or that has missed a version. It is replaced only if it is unchanged since it was read.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::{GatewayState, GatewayView};
use crate::clock::{now_ms, timeout};
use dockgate_core::gateway::{
    LedgerContext, LedgerDuty, ServiceVersion, StoreRevision, VersionLedger,
};
use dockgate_platform::{
    PlatformClient, PlatformError, PutCondition, PutOutcome, StoredValue, VERSIONS_KEY,
    decode_versions, encode_versions,
};
use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

/// How often the ledger is compared with what this box observes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The delay after a failed access, or one that another box has overtaken, in milliseconds; random,
/// so that boxes do not retry in step.
const RETRY_MS: Range<u64> = 150..450;
/// The same after further failures.
const LONG_RETRY_MS: Range<u64> = 700..1_300;

/// How long a request that takes up a stream waits for the ledger.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// The minimum interval between reads for requests, in milliseconds.
const READ_INTERVAL_MS: u64 = 100;

/// How an access to the ledger ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LedgerOutcome {
    Unchanged,
    Written,
    /// Another box has replaced the ledger meanwhile, or the answer is of an earlier era.
    Conflict,
}

impl LedgerOutcome {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Unchanged => "unchanged",
            Self::Written => "written",
            Self::Conflict => "conflict",
        }
    }
}

impl GatewayView {
    /// Calls `decide` with what this box observes of versions.
    fn with_ledger<T>(&self, decide: impl FnOnce(LedgerContext<'_>) -> T) -> T {
        let ready = self.endpoints.ready_versions();
        decide(LedgerContext {
            history: &self.versions,
            ready: &ready,
            era: self.eras.current(),
            now_ms: now_ms(),
        })
    }
}

/// Reads and replaces the ledger whenever that is due, until the process ends.
pub(super) async fn keep_ledger(state: Arc<GatewayState>) {
    let client = state.store_client();
    let mut failures = 0_u32;
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        let duty = match state.is_primary_watcher() || state.follows_store() {
            true => LedgerDuty::Maintain,
            false => LedgerDuty::Consult,
        };
        let is_due =
            state.with(|view| view.with_ledger(|context| view.ledger.is_due(context, duty)));
        if !is_due {
            continue;
        }
        let outcome = exchange(&state, &client, duty).await;
        failures = match &outcome {
            Ok(LedgerOutcome::Unchanged | LedgerOutcome::Written) => 0,
            Ok(LedgerOutcome::Conflict) | Err(_) => failures + 1,
        };
        if let Err(error) = outcome {
            log::info!("exchange versions with the store: {error}");
        }
        let retry_ms = match failures {
            0 => continue,
            1 | 2 => RETRY_MS,
            _ => LONG_RETRY_MS,
        };
        tokio::time::sleep(Duration::from_millis(rand::random_range(retry_ms))).await;
    }
}

/// Reads the ledger into this box's view; returns the item, or `None` if the answer is of an earlier
/// era of the store.
async fn read(
    state: &GatewayState,
    client: &PlatformClient,
) -> Result<Option<Option<StoredValue>>, PlatformError> {
    const STEP: &str = "versions";
    let listing = client.list(VERSIONS_KEY).await;
    let outcome = if listing.is_ok() {
        "answered"
    } else {
        "failed"
    };
    let counter = &GATEWAY_METRICS.store_calls;
    counter.with_label_values(&[STEP, outcome]).inc();
    let listing = listing?;
    let Some(era) = state.record_era(listing.era, STEP) else {
        return Ok(None);
    };
    let revision = StoreRevision::new(era, listing.revision);
    let mut items = listing.items.into_iter();
    let item = items.find(|item| item.key == VERSIONS_KEY);
    let ledger = item.as_ref().and_then(decode);
    // A value that cannot be read shows that the fleet ran before.
    let is_unreadable = item.is_some() && ledger.is_none();
    let is_first_start = state.settings().first_start && !is_unreadable;
    state.with(|view| {
        let GatewayView {
            ledger: keeper,
            versions,
            ..
        } = view;
        keeper.merge(ledger, revision, versions, is_first_start, now_ms());
        keeper.update(versions);
    });
    Ok(Some(item))
}

fn decode(item: &StoredValue) -> Option<VersionLedger> {
    let ledger = decode_versions(&item.bytes);
    let unreadable = ledger.as_ref().err();
    if let Some(error) = unreadable {
        log_gateway(&GatewayEvent::Unreadable {
            what: VERSIONS_KEY,
            problem: error.to_string(),
        });
    }
    ledger.ok()
}

/// Reads the ledger, and replaces it if this box has to change it.
async fn exchange(
    state: &GatewayState,
    client: &PlatformClient,
    duty: LedgerDuty,
) -> Result<LedgerOutcome, PlatformError> {
    let Some(stored) = read(state, client).await? else {
        return Ok(LedgerOutcome::Conflict);
    };
    let next = state.with(|view| view.with_ledger(|context| view.ledger.propose(context, duty)));
    let outcome = match next {
        Some(next) => replace(state, client, stored.as_ref(), next).await?,
        None => LedgerOutcome::Unchanged,
    };
    let (listed, known): (usize, BTreeSet<ServiceVersion>) = state.with(|view| {
        let ledger = view.ledger.ledger();
        let listed = ledger.map_or(0, |ledger| ledger.versions.len());
        (listed, view.versions.recent())
    });
    log_gateway(&GatewayEvent::VersionsExchanged {
        stored: stored.is_some().then_some(listed),
        known: known.len(),
        outcome: outcome.as_str(),
    });
    Ok(outcome)
}

async fn replace(
    state: &GatewayState,
    client: &PlatformClient,
    stored: Option<&StoredValue>,
    next: VersionLedger,
) -> Result<LedgerOutcome, PlatformError> {
    let condition = stored.map_or(PutCondition::Absent, |stored| {
        PutCondition::Revision(stored.revision)
    });
    let value = encode_versions(&next);
    match client.put(VERSIONS_KEY, value, condition, None).await? {
        PutOutcome::Done(revision) => {
            let revision = StoreRevision::new(next.era, revision);
            state.with(|view| {
                let GatewayView {
                    ledger, versions, ..
                } = view;
                ledger.record_write(next, revision, now_ms());
                ledger.update(versions);
            });
            Ok(LedgerOutcome::Written)
        }
        PutOutcome::Conflict | PutOutcome::NoLease => Ok(LedgerOutcome::Conflict),
    }
}

/// Reads the ledger with a call that begins now, or shares one that begins for another request.
///
/// # Errors
///
/// Returns an error if the store does not answer in time.
pub(super) async fn refresh(state: &GatewayState) -> Result<(), LedgerUnread> {
    let read_once = async || {
        let elapsed_ms = state.with(|view| now_ms().saturating_sub(view.ledger.read_ms()));
        let pause_ms = READ_INTERVAL_MS.saturating_sub(elapsed_ms);
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
        let client = state.store_client();
        match timeout(READ_TIMEOUT, read(state, &client)).await {
            Ok(Ok(Some(_))) => Ok(()),
            Ok(Ok(None) | Err(_)) | Err(_) => {
                state.with(|view| view.ledger.record_unread(now_ms()));
                Err(LedgerUnread)
            }
        }
    };
    state.ledger_reads.run(read_once).await
}

/// The ledger could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct LedgerUnread;
