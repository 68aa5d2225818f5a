//! The software versions of the services as the platform's store lists them.
//!
//! No stream begins at a version before the ledger lists it as admitted, so that a ledger which was
//! read after a stream began lists the version of that stream, whatever the reader has missed. A
//! version is announced first: streams that began before then are recorded under the version that
//! served them until the new one is admitted.
//!
//! ```
//! use dockgate_core::gateway::{ServiceVersion, SoftwareVersion, VersionLedger, VersionStage};
//!
//! let (v1, v2) = (SoftwareVersion::from_name("v1"), SoftwareVersion::from_name("v2"));
//! let mut ledger = VersionLedger::default();
//! ledger.versions.insert(ServiceVersion { service: 7, version: v1 }, VersionStage::Admitted);
//! ledger.versions.insert(ServiceVersion { service: 7, version: v2 }, VersionStage::Announced);
//! assert_eq!(ledger.only_admitted(7), Some(v1));
//! ```

use super::software_version::SoftwareVersion;
use super::store_revision::StoreRevision;
use super::version_history::{ServiceVersion, VersionHistory};
use std::collections::{BTreeMap, BTreeSet};

/// Whether streams may begin at a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum VersionStage {
    /// Endpoints of the version exist; no stream has begun there.
    Announced,
    /// Streams may have begun there.
    Admitted,
}

/// The versions at which streams may have begun.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct VersionLedger {
    /// The era of the store in which the ledger was written.
    pub era: u64,
    /// For how long before it was written the ledger lists every version, in milliseconds.
    pub complete_ms: u64,
    /// The versions of all services.
    pub versions: BTreeMap<ServiceVersion, VersionStage>,
}

impl VersionLedger {
    /// Lists the versions of a service and their stages.
    pub fn listed(&self, service: u64) -> impl Iterator<Item = (SoftwareVersion, VersionStage)> {
        let listed = self.versions.range(ServiceVersion::range(service));
        listed.map(|(listed, stage)| (listed.version, *stage))
    }

    /// Lists the versions of a service at which streams may have begun.
    pub fn admitted(&self, service: u64) -> impl Iterator<Item = SoftwareVersion> {
        let listed = self.listed(service);
        let admitted = listed.filter(|(_, stage)| *stage == VersionStage::Admitted);
        admitted.map(|(version, _)| version)
    }

    /// Returns whether streams may have begun at the version.
    pub fn is_admitted(&self, version: ServiceVersion) -> bool {
        self.versions.get(&version) == Some(&VersionStage::Admitted)
    }

    /// Returns the version of a service if streams can have begun at no other one.
    pub fn only_admitted(&self, service: u64) -> Option<SoftwareVersion> {
        let mut admitted = self.admitted(service);
        match (admitted.next(), admitted.next()) {
            (Some(only), None) if only.is_known() => Some(only),
            _ => None,
        }
    }
}

/// What one box observes, on which the next ledger is based.
#[derive(Debug, Clone, Copy)]
pub struct LedgerContext<'a> {
    /// The versions that the box has known.
    pub history: &'a VersionHistory,
    /// The versions of endpoints that accept requests.
    pub ready: &'a BTreeSet<ServiceVersion>,
    /// The current era of the store.
    pub era: u64,
    /// The time in milliseconds.
    pub now_ms: u64,
}

/// Whether a box has to read the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LedgerDuty {
    /// It replaces a ledger that differs from what it observes.
    Maintain,
    /// It reads the ledger only while it lists a version that may not be admitted.
    Consult,
}

/// A box's knowledge of the ledger, and what it changes there.
#[derive(Debug, Clone, Default)]
pub struct LedgerKeeper {
    /// The ledger as this box last read or wrote it.
    ledger: Option<VersionLedger>,
    /// The store's revision at which it was read or written.
    revision: StoreRevision,
    /// When it was last read or written.
    read_ms: u64,
    /// Since when this box knows that a version is announced.
    announced_ms: BTreeMap<ServiceVersion, u64>,
    /// The versions that exist and are not admitted, of services with another version.
    unadmitted: BTreeSet<ServiceVersion>,
    /// Whether the store lacks versions of `ledger`.
    is_lacking: bool,
    /// The era in which the store had no current ledger when it was last read.
    missing_era: Option<u64>,
    /// Whether the fleet starts for the first time, so that no stream ran before.
    is_first_start: bool,
    /// When a request last waited for the ledger without success.
    unread_ms: Option<u64>,
    /// Until when this box may not have heard of versions that the store has lost.
    settles_ms: Option<u64>,
}

impl LedgerKeeper {
    /// The time between the announcement of a version and its admission, in milliseconds: within it
    /// all boxes hear of the version, and report the streams that began before.
    pub const ADMISSION_DELAY_MS: u64 = 1_000;
    /// The interval at which a box that consults the ledger reads it, in milliseconds.
    pub const CONSULT_INTERVAL_MS: u64 = 400;
    /// The delay after which a box that consults the ledger also writes it, in milliseconds: the
    /// boxes that maintain it are gone or do not reach the store.
    pub const TAKEOVER_DELAY_MS: u64 = 3_000;
    /// The time after which a box that found the store without a complete ledger has heard of every
    /// version which was admitted before, or knows that it is out of contact, in milliseconds.
    pub const SETTLE_DELAY_MS: u64 = 2_500;
    /// For how long requests do not wait for the ledger after that failed, in milliseconds.
    const UNREAD_PAUSE_MS: u64 = 2_000;
    /// The age below which a box waits before it admits a version, in milliseconds: if all boxes have
    /// just started, streams that ran before have no record, and began at the versions admitted then.
    pub const MIN_ADMITTING_AGE_MS: u64 = 10_000;
    /// The shortest completeness that is worth a write, in milliseconds.
    const MIN_COMPLETE_MS: u64 = 2_000;

    /// Returns when the ledger was last read or written, in milliseconds; 0 if it was not.
    pub const fn read_ms(&self) -> u64 {
        self.read_ms
    }

    /// Returns whether requests that begin a stream wait for the first read of the ledger, which
    /// failed for none of them a moment ago.
    pub fn is_awaited(&self, now_ms: u64) -> bool {
        let has_failed = |unread_ms| unread_ms + Self::UNREAD_PAUSE_MS > now_ms;
        self.ledger.is_none() && !self.unread_ms.is_some_and(has_failed)
    }

    /// Records that a request waited for the ledger without success.
    pub const fn record_unread(&mut self, now_ms: u64) {
        self.unread_ms = Some(now_ms);
    }

    /// Returns the ledger as this box last read or wrote it.
    pub const fn ledger(&self) -> Option<&VersionLedger> {
        self.ledger.as_ref()
    }

    /// Returns whether new streams have to avoid endpoints of the version as long as others serve.
    pub fn is_unadmitted(&self, version: ServiceVersion) -> bool {
        self.unadmitted.contains(&version)
    }

    /// Returns whether all known versions are admitted.
    pub fn admits_all(&self) -> bool {
        self.unadmitted.is_empty()
    }

    /// Returns the number of versions that exist and are not admitted.
    pub fn unadmitted_count(&self) -> usize {
        self.unadmitted.len()
    }

    /// Returns the version of a service if streams of the last `within_ms` milliseconds can have
    /// begun at no other one, as the ledger shows that was read last.
    ///
    /// What this box has observed counts only once a ledger contains it: it may not have heard of a
    /// version that the store has lost.
    pub fn only_version(&self, service: u64, within_ms: u64) -> Option<SoftwareVersion> {
        let ledger = self.ledger.as_ref()?;
        let only = ledger.only_admitted(service);
        only.filter(|_| ledger.complete_ms >= within_ms)
    }

    /// Records the ledger that was read at a revision of the store, or that there was none.
    ///
    /// In an era that the ledger does not name, the store may have lost versions; those that this
    /// box knows count on. `is_first_start` is whether the fleet never ran before.
    pub fn merge(
        &mut self,
        stored: Option<VersionLedger>,
        revision: StoreRevision,
        history: &mut VersionHistory,
        is_first_start: bool,
        now_ms: u64,
    ) {
        // Reads may overtake one another.
        if revision < self.revision {
            return;
        }
        let era = revision.era;
        let is_first_read = self.ledger.is_none();
        self.is_first_start |= is_first_start && is_first_read;
        let complete_ms = match &stored {
            Some(ledger) if ledger.era == era => ledger.complete_ms,
            None if is_first_start && is_first_read => VersionHistory::RETENTION_MS,
            Some(_) | None => 0,
        };
        let is_current = stored.as_ref().is_some_and(|ledger| ledger.era == era);
        // A ledger that was begun anew is complete for a shorter time than the one before, or than
        // a box has observed that reads it first.
        let expected_ms = match &self.ledger {
            Some(known) => known.complete_ms,
            None => history.known_ms(now_ms).min(VersionHistory::RETENTION_MS),
        };
        let is_newly_missing = !is_current && self.missing_era != Some(era);
        let is_begun_anew = complete_ms < expected_ms || is_newly_missing && complete_ms == 0;
        self.missing_era = (!is_current).then_some(era);
        let known = self.ledger.take().unwrap_or_default();
        let mut ledger = stored.unwrap_or(VersionLedger {
            era,
            ..VersionLedger::default()
        });
        ledger.complete_ms = complete_ms;
        let is_kept = is_begun_anew || complete_ms == 0 || known.era != era;
        let mut is_lacking = false;
        for (version, stage) in known.versions.iter().filter(|_| is_kept) {
            let listed = ledger.versions.get(version);
            if listed.is_none_or(|listed| listed < stage) {
                ledger.versions.insert(*version, *stage);
                is_lacking = true;
            }
        }
        if is_begun_anew || is_lacking {
            self.settles_ms = Some(now_ms + Self::SETTLE_DELAY_MS);
        }
        let listed = ledger.versions.keys().copied();
        let (old, new): (Vec<_>, Vec<_>) =
            listed.partition(|version| known.versions.contains_key(version));
        history.recall(old.into_iter(), now_ms);
        history.complete(new.into_iter(), complete_ms, now_ms);
        self.replace(ledger, revision, now_ms);
        self.is_lacking = is_lacking || !is_current;
        self.read_ms = now_ms;
    }

    fn replace(&mut self, ledger: VersionLedger, revision: StoreRevision, now_ms: u64) {
        self.announced_ms
            .retain(|version, _| ledger.versions.get(version) == Some(&VersionStage::Announced));
        for (version, stage) in &ledger.versions {
            if *stage == VersionStage::Announced {
                self.announced_ms.entry(*version).or_insert(now_ms);
            }
        }
        self.ledger = Some(ledger);
        self.revision = revision;
    }

    /// Records that this box wrote the ledger at a revision of the store.
    pub fn record_write(&mut self, ledger: VersionLedger, revision: StoreRevision, now_ms: u64) {
        if revision > self.revision {
            self.is_lacking = false;
            self.missing_era = None;
            self.replace(ledger, revision, now_ms);
            // It was unchanged since it was read.
            self.read_ms = now_ms;
        }
    }

    /// Updates which versions are not admitted.
    ///
    /// Without a ledger these are the versions that appeared after another one of their service.
    pub fn update(&mut self, history: &VersionHistory) {
        let is_admitted = |version: ServiceVersion| match &self.ledger {
            Some(ledger) => {
                let is_admitted =
                    ledger.is_admitted(version) && !self.is_outdated(version, history);
                is_admitted || ledger.admitted(version.service).next().is_none()
            }
            None => !history.appeared_later(version),
        };
        let known = history.recent().into_iter();
        self.unadmitted = known.filter(|version| !is_admitted(*version)).collect();
    }

    /// Returns whether a version has appeared since this box read the ledger: another box may have
    /// removed and announced it again meanwhile.
    fn is_outdated(&self, version: ServiceVersion, history: &VersionHistory) -> bool {
        history
            .first_known_ms(version)
            .is_some_and(|first_ms| first_ms > self.read_ms)
    }

    /// Returns whether the ledger has to be read now, and replaced if it differs.
    pub fn is_due(&self, context: LedgerContext<'_>, duty: LedgerDuty) -> bool {
        let elapsed_ms = context.now_ms.saturating_sub(self.read_ms);
        match (&self.ledger, duty) {
            (None, LedgerDuty::Maintain) => !context.ready.is_empty(),
            (None, LedgerDuty::Consult) => Self::has_several(context.ready),
            (Some(ledger), LedgerDuty::Maintain) => {
                let mut unadmitted = self.unadmitted.iter();
                let is_outdated = unadmitted.any(|version| ledger.is_admitted(*version));
                is_outdated && elapsed_ms >= Self::CONSULT_INTERVAL_MS
                    || self.propose(context, duty).is_some()
            }
            (Some(_), LedgerDuty::Consult) => {
                !self.admits_all() && elapsed_ms >= Self::CONSULT_INTERVAL_MS
            }
        }
    }

    /// Returns whether a service has endpoints of several versions.
    fn has_several(ready: &BTreeSet<ServiceVersion>) -> bool {
        let services = ready.iter().map(|version| version.service);
        let next = ready.iter().skip(1).map(|version| version.service);
        services.zip(next).any(|(one, other)| one == other)
    }

    /// Returns the ledger that replaces the one last read, if this box has to change it.
    pub fn propose(&self, context: LedgerContext<'_>, duty: LedgerDuty) -> Option<VersionLedger> {
        let LedgerContext {
            history,
            ready,
            era,
            now_ms,
        } = context;
        let stored = self.ledger.as_ref()?;
        let mut versions = stored.versions.clone();
        let recent = history.recent();
        let is_gapless = history.is_gapless(VersionHistory::RETENTION_MS, now_ms);
        if duty == LedgerDuty::Maintain && is_gapless {
            versions.retain(|version, _| recent.contains(version));
        }
        let is_settling = self
            .settles_ms
            .is_some_and(|settles_ms| now_ms < settles_ms);
        let first_stage = match stored.versions.is_empty() || is_settling {
            // Streams may run at each of them already.
            true => VersionStage::Admitted,
            false => VersionStage::Announced,
        };
        for version in recent {
            versions.entry(version).or_insert(first_stage);
        }
        if duty == LedgerDuty::Maintain && is_settling {
            // Another box may have admitted them in the ledger that was lost.
            versions
                .values_mut()
                .for_each(|stage| *stage = VersionStage::Admitted);
        }
        self.admit(&mut versions, ready, duty, now_ms);
        let known_ms = match is_settling {
            true => 0,
            false => history.known_ms(now_ms).min(VersionHistory::RETENTION_MS),
        };
        let stored_ms = match stored.era == era {
            true => stored.complete_ms,
            false => 0,
        };
        let is_due = match duty {
            LedgerDuty::Maintain => {
                stored.era != era || self.is_lacking || Self::is_longer(known_ms, stored_ms)
            }
            LedgerDuty::Consult => false,
        };
        let is_changed = versions != stored.versions;
        (is_due || is_changed).then_some(VersionLedger {
            era,
            complete_ms: known_ms.max(stored_ms),
            versions,
        })
    }

    /// Returns whether a longer completeness is worth a write: it has doubled, or is as long as it
    /// gets.
    const fn is_longer(known_ms: u64, stored_ms: u64) -> bool {
        let has_doubled = known_ms >= Self::MIN_COMPLETE_MS && known_ms >= 2 * stored_ms;
        let is_whole = known_ms == VersionHistory::RETENTION_MS && stored_ms < known_ms;
        has_doubled && stored_ms < known_ms || is_whole
    }

    /// Admits the announced versions that are due, and those of services that are served by no
    /// admitted version.
    fn admit(
        &self,
        versions: &mut BTreeMap<ServiceVersion, VersionStage>,
        ready: &BTreeSet<ServiceVersion>,
        duty: LedgerDuty,
        now_ms: u64,
    ) {
        let delay_ms = match duty {
            LedgerDuty::Maintain => Self::ADMISSION_DELAY_MS,
            LedgerDuty::Consult => Self::TAKEOVER_DELAY_MS,
        };
        let served: BTreeSet<u64> = versions
            .iter()
            .filter(|(version, stage)| **stage == VersionStage::Admitted && ready.contains(version))
            .map(|(version, _)| version.service)
            .collect();
        // The clock starts with the process.
        let is_old = self.is_first_start || now_ms >= Self::MIN_ADMITTING_AGE_MS;
        for (version, stage) in versions.iter_mut() {
            let announced_ms = self.announced_ms.get(version);
            let is_due =
                is_old && announced_ms.is_some_and(|since_ms| since_ms + delay_ms <= now_ms);
            let is_needed = ready.contains(version) && !served.contains(&version.service);
            if is_due || is_needed {
                *stage = VersionStage::Admitted;
            }
        }
    }
}

#[cfg(test)]
mod model_tests;
#[cfg(test)]
mod tests;
