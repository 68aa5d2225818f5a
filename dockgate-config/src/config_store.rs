//! Where the accepted configuration stands in the platform's service.
//!
//! One key, the head, is the whole truth: the version and the most recent entries. A commit is one
//! compare-and-swap of it, so that a daemon that dies between steps leaves nothing half done, and a
//! watcher needs one read for one change. A snapshot is written before the head that names it.

use bytes::Bytes;
use dockgate_core::{ConfigEntry, ConfigPlan, FleetConfig};
use dockgate_platform::{
    PlatformClient, PlatformError, PutCondition, PutOutcome, StoreChanges, StoreEvent, StoredValue,
    WatchOutcome, parse_value,
};
use serde::{Deserialize, Serialize};
use std::time::Duration;

const HEAD: &str = "config/head";
const SNAPSHOT: &str = "config/snapshot/";
const PLAN: &str = "plan/";
/// The most entries that the head holds; a daemon further behind starts from the snapshot.
const MOST_ENTRIES: usize = 24;
/// How many entries stay in the head when a snapshot is made.
const KEPT_ENTRIES: usize = 8;
/// The size of a part of a snapshot, in bytes, below the largest value of the service.
const PART_BYTES: usize = 512 << 10;

/// The value of the head.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// The version in force.
    pub version: u64,
    /// The version of the last snapshot; zero is the empty configuration.
    pub snapshot: u64,
    /// In how many parts the snapshot stands.
    pub parts: usize,
    /// The last entries, ending at `version`.
    pub entries: Vec<ConfigEntry>,
}

impl ConfigHead {
    /// Returns the entries after a version, or none where the log was trimmed past it.
    pub fn entries_since(&self, version: u64) -> Option<Vec<ConfigEntry>> {
        let missing = self.version.saturating_sub(version) as usize;
        let start = self.entries.len().checked_sub(missing)?;
        Some(self.entries[start..].to_vec())
    }
}

/// What became of a confirmed plan.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// It made this version.
    Committed(u64),
    /// It had made this version before.
    AlreadyCommitted(u64),
    /// The version that it is based on no longer stands.
    Stale(ConfigHead),
}

/// Reads and commits the configuration.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    client: PlatformClient,
}

impl ConfigStore {
    /// Makes a store on a client.
    pub const fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    /// Returns the client that it calls the service with.
    pub const fn client(&self) -> &PlatformClient {
        &self.client
    }

    /// Reads the head and its revision.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer or the head cannot be read.
    pub async fn read_head(&self) -> Result<(ConfigHead, u64), PlatformError> {
        self.client
            .get(HEAD)
            .await?
            .map_or(Ok((ConfigHead::default(), 0)), |value| parse_head(&value))
    }

    /// Waits for another head than that of revision `since`.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer or the head cannot be read.
    pub async fn watch_head(
        &self,
        since: u64,
        wait: Duration,
    ) -> Result<Option<(ConfigHead, u64)>, PlatformError> {
        match self.client.watch(HEAD, since, wait).await? {
            WatchOutcome::HistoryLost => self.read_head().await.map(Some),
            WatchOutcome::Changes(StoreChanges { events, .. }) => {
                let written = events.into_iter().rev().find_map(|event| match event {
                    StoreEvent::Written(value) if value.key == HEAD => Some(value),
                    _ => None,
                });
                written.map(|value| parse_head(&value)).transpose()
            }
        }
    }

    /// Brings a configuration up to a head: by the entries if they reach back, else by snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer or what is stored breaks a rule.
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
                PlatformError::Malformed(STEP, key.clone(), "the part is missing".to_owned())
            })?;
            bytes.extend_from_slice(&value.bytes);
        }
        parse_value(STEP, SNAPSHOT, &bytes)
    }

    /// Keeps a plan for confirmation.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer.
    pub async fn store_plan(&self, plan: &ConfigPlan, ttl: Duration) -> Result<(), PlatformError> {
        let lease = self.client.lease(ttl).await?;
        let key = format!("{PLAN}{}", plan.id);
        let value = to_bytes(plan);
        self.client
            .put(&key, value, PutCondition::Always, Some(lease.id))
            .await
            .map(drop)
    }

    /// Reads a plan that was kept.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer or the plan cannot be read.
    pub async fn read_plan(&self, id: &str) -> Result<Option<ConfigPlan>, PlatformError> {
        let key = format!("{PLAN}{id}");
        let value = self.client.get(&key).await?;
        value
            .map(|value| parse_value("read plan", &key, &value.bytes))
            .transpose()
    }

    /// Commits a plan by one compare-and-swap of the head.
    ///
    /// Safe to repeat: a plan that is in the log is not committed again, so that a lost reply is
    /// settled by calling this again.
    ///
    /// # Errors
    ///
    /// Returns an error where the service gives no answer; the commit may have taken effect then.
    pub async fn commit(
        &self,
        plan: &ConfigPlan,
        author: &str,
        at_ms: u64,
    ) -> Result<CommitOutcome, PlatformError> {
        let (head, revision) = self.read_head().await?;
        let done = head.entries.iter().find(|entry| entry.plan == plan.id.0);
        match done {
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
            .put(HEAD, to_bytes(&next), condition, None)
            .await?
        {
            PutOutcome::Done(_) => Ok(CommitOutcome::Committed(next.version)),
            PutOutcome::Conflict | PutOutcome::NoLease => {
                let (head, _) = self.read_head().await?;
                let done = head.entries.iter().find(|entry| entry.plan == plan.id.0);
                Ok(match done {
                    Some(entry) => CommitOutcome::AlreadyCommitted(entry.version),
                    None => CommitOutcome::Stale(head),
                })
            }
        }
    }

    /// Adds an entry; writes a snapshot first where the head has grown long.
    async fn next_head(
        &self,
        mut head: ConfigHead,
        entry: ConfigEntry,
    ) -> Result<ConfigHead, PlatformError> {
        let long = head.entries.len() >= MOST_ENTRIES || to_bytes(&head).len() > PART_BYTES;
        if long {
            let config = self.catch_up(&FleetConfig::default(), &head).await?;
            head.parts = self.write_snapshot(&config).await?;
            head.snapshot = config.version;
            let surplus = head.entries.len().saturating_sub(KEPT_ENTRIES);
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
            // Two committers write the same bytes: a version has one content.
            self.client
                .put(&key, value, PutCondition::Always, None)
                .await?;
        }
        Ok(parts)
    }
}

fn part_key(version: u64, part: usize) -> String {
    format!("{SNAPSHOT}{version}/{part}")
}

fn to_bytes<T: Serialize>(value: &T) -> Bytes {
    Bytes::from(serde_json::to_vec(value).unwrap_or_default())
}

fn parse_head(value: &StoredValue) -> Result<(ConfigHead, u64), PlatformError> {
    Ok((
        parse_value("read head", HEAD, &value.bytes)?,
        value.revision,
    ))
}

/// Applies entries strictly in order.
fn replay(config: &FleetConfig, entries: &[ConfigEntry]) -> Result<FleetConfig, PlatformError> {
    entries.iter().try_fold(config.clone(), |config, entry| {
        config
            .advance(entry)
            .map_err(|error| PlatformError::Invalid("replay", error.to_string()))
    })
}
