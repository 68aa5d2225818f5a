//! Storage of the configuration log in the platform's key-value store.
//!
//! A single key, the head, holds the version and the most recent entries. A commit is one
//! compare-and-swap of the head, so a daemon that crashes during a commit leaves no partial state,
//! and a watcher needs one read per change. A snapshot is written before the head that refers to
//! it.

use bytes::Bytes;
use dockgate_core::{ConfigEntry, ConfigPlan, FleetConfig};
use dockgate_platform::{
    PlatformClient, PlatformError, PutCondition, PutOutcome, StoreChanges, StoreEvent, StoredValue,
    WatchOutcome, parse_value,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The key of the head.
pub const HEAD_KEY: &str = "config/head";
const SNAPSHOT_PREFIX: &str = "config/snapshot/";
const PLAN_PREFIX: &str = "plan/";
/// The maximum number of entries in the head. A daemon that lags further loads the snapshot.
const MAX_ENTRIES: usize = 24;
/// The number of entries that remain in the head after a snapshot.
const RETAINED_ENTRIES: usize = 8;
/// The size of a snapshot part in bytes, below the store's maximum size of a value.
const PART_BYTES: usize = 512 << 10;

/// The head of the configuration log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The current version.
    pub version: u64,
    /// The version of the last snapshot; zero for the empty configuration.
    pub snapshot: u64,
    /// The number of parts of the snapshot.
    pub parts: usize,
    /// The most recent entries, up to `version`.
    pub entries: Vec<ConfigEntry>,
}

impl ConfigHead {
    /// Returns the entries after a version, or `None` if the log no longer holds all of them.
    pub fn entries_since(&self, version: u64) -> Option<Vec<ConfigEntry>> {
        let missing = self.version.saturating_sub(version) as usize;
        let start = self.entries.len().checked_sub(missing)?;
        Some(self.entries[start..].to_vec())
    }
}

/// The outcome of committing a plan.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The commit created this version.
    Committed(u64),
    /// An earlier commit of the same plan created this version.
    AlreadyCommitted(u64),
    /// The base version of the plan is no longer the current one.
    Stale(ConfigHead),
}

/// Reads and commits the configuration.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    client: PlatformClient,
}

impl ConfigStore {
    /// Creates a store that uses this client.
    pub const fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    /// Returns the client of the platform's store.
    pub const fn client(&self) -> &PlatformClient {
        &self.client
    }

    /// Reads the head and its revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or the head is malformed.
    pub async fn read_head(&self) -> Result<(ConfigHead, u64), PlatformError> {
        self.client
            .get(HEAD_KEY)
            .await?
            .map_or(Ok((ConfigHead::default(), 0)), |value| parse_head(&value))
    }

    /// Returns the head after a watch of [`HEAD_KEY`], with its revision; `None` if the watch ended
    /// without a change.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or the head is malformed.
    pub async fn head_after(
        &self,
        watched: WatchOutcome,
    ) -> Result<Option<(ConfigHead, u64)>, PlatformError> {
        match watched {
            WatchOutcome::HistoryLost => self.read_head().await.map(Some),
            WatchOutcome::Changes(StoreChanges { events, .. }) => {
                let written = events.into_iter().rev().find_map(|event| match event {
                    StoreEvent::Written(value) if value.key == HEAD_KEY => Some(value),
                    _ => None,
                });
                written.map(|value| parse_head(&value)).transpose()
            }
        }
    }

    /// Updates a configuration to the version of a head, from its entries if it holds all that are
    /// missing, otherwise from the snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or the stored configuration is invalid.
    pub async fn catch_up(
        &self,
        config: &FleetConfig,
        head: &ConfigHead,
    ) -> Result<FleetConfig, PlatformError> {
        match head.entries_since(config.version) {
            Some(entries) => replay(config, &entries),
            None => {
                let snapshot = self.snapshot(head).await?;
                let entries = head.entries_since(snapshot.version).unwrap_or_default();
                replay(&snapshot, &entries)
            }
        }
    }

    async fn snapshot(&self, head: &ConfigHead) -> Result<FleetConfig, PlatformError> {
        const STEP: &str = "read snapshot";
        let mut bytes = Vec::new();
        for part in 0..head.parts {
            let key = part_key(head.snapshot, part);
            let value = self.client.get(&key).await?;
            let value = value.ok_or_else(|| {
                PlatformError::Malformed(STEP, key.clone(), "snapshot part is missing".to_owned())
            })?;
            bytes.extend_from_slice(&value.bytes);
        }
        parse_value(STEP, SNAPSHOT_PREFIX, &bytes)
    }

    /// Stores a plan until it is confirmed or `ttl` has passed.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer.
    pub async fn store_plan(&self, plan: &ConfigPlan, ttl: Duration) -> Result<(), PlatformError> {
        let lease = self.client.lease(ttl).await?;
        let key = format!("{PLAN_PREFIX}{}", plan.id);
        let value = to_bytes(plan);
        self.client
            .put(&key, value, PutCondition::Always, Some(lease.id))
            .await
            .map(drop)
    }

    /// Reads a stored plan.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer or the plan is malformed.
    pub async fn read_plan(&self, id: &str) -> Result<Option<ConfigPlan>, PlatformError> {
        let key = format!("{PLAN_PREFIX}{id}");
        let value = self.client.get(&key).await?;
        value
            .map(|value| parse_value("read plan", &key, &value.bytes))
            .transpose()
    }

    /// Commits a plan by one compare-and-swap of the head.
    ///
    /// Commits are idempotent: a plan that is in the log is not committed again. After a lost
    /// reply, call this function again to learn the outcome.
    ///
    /// # Errors
    ///
    /// Returns an error if the store does not answer; the commit may have taken effect.
    pub async fn commit(
        &self,
        plan: &ConfigPlan,
        author: &str,
        at_ms: u64,
    ) -> Result<CommitOutcome, PlatformError> {
        let (head, revision) = self.read_head().await?;
        let committed = head.entries.iter().find(|entry| entry.plan == plan.id.0);
        match committed {
            Some(entry) => return Ok(CommitOutcome::AlreadyCommitted(entry.version)),
            None if head.version != plan.base => return Ok(CommitOutcome::Stale(head)),
            None => {}
        }
        let entry = ConfigEntry {
            version: plan.base + 1,
            plan: plan.id.0.clone(),
            author: author.to_owned(),
            at_ms,
            changes: plan.changes.clone(),
        };
        let next = self.next_head(head, entry).await?;
        let condition = match revision {
            0 => PutCondition::Absent,
            revision => PutCondition::Revision(revision),
        };
        match self
            .client
            .put(HEAD_KEY, to_bytes(&next), condition, None)
            .await?
        {
            PutOutcome::Done(_) => Ok(CommitOutcome::Committed(next.version)),
            PutOutcome::Conflict | PutOutcome::NoLease => {
                let (head, _) = self.read_head().await?;
                let committed = head.entries.iter().find(|entry| entry.plan == plan.id.0);
                Ok(match committed {
                    Some(entry) => CommitOutcome::AlreadyCommitted(entry.version),
                    None => CommitOutcome::Stale(head),
                })
            }
        }
    }

    /// Appends an entry to a head, and writes a snapshot first if the head is too large.
    async fn next_head(
        &self,
        mut head: ConfigHead,
        entry: ConfigEntry,
    ) -> Result<ConfigHead, PlatformError> {
        let is_large = head.entries.len() >= MAX_ENTRIES || to_bytes(&head).len() > PART_BYTES;
        if is_large {
            let config = self.catch_up(&FleetConfig::default(), &head).await?;
            head.parts = self.write_snapshot(&config).await?;
            head.snapshot = config.version;
            let surplus = head.entries.len().saturating_sub(RETAINED_ENTRIES);
            head.entries.drain(..surplus);
        }
        head.version = entry.version;
        head.entries.push(entry);
        Ok(head)
    }

    async fn write_snapshot(&self, config: &FleetConfig) -> Result<usize, PlatformError> {
        let bytes = to_bytes(config);
        let parts = bytes.len().div_ceil(PART_BYTES);
        for part in 0..parts {
            let end = bytes.len().min((part + 1) * PART_BYTES);
            let value = bytes.slice(part * PART_BYTES..end);
            let key = part_key(config.version, part);
            // Concurrent writers store the same bytes, because the content of a version is fixed.
            self.client
                .put(&key, value, PutCondition::Always, None)
                .await?;
        }
        Ok(parts)
    }
}

fn part_key(version: u64, part: usize) -> String {
    format!("{SNAPSHOT_PREFIX}{version}/{part}")
}

fn to_bytes<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn parse_head(value: &StoredValue) -> Result<(ConfigHead, u64), PlatformError> {
    Ok((
        parse_value("read head", HEAD_KEY, &value.bytes)?,
        value.revision,
    ))
}

/// Applies entries in order.
fn replay(config: &FleetConfig, entries: &[ConfigEntry]) -> Result<FleetConfig, PlatformError> {
    entries.iter().try_fold(config.clone(), |config, entry| {
        config
            .advance(entry)
            .map_err(|error| PlatformError::Invalid("replay", error.to_string()))
    })
}
