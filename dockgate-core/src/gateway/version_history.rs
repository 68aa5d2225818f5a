//! The software versions of each service within the last minutes, as far as this box has observed
//! them.
//!
//! If a service had a single version for as long as a stream can last, every stream of it began at
//! that version. A box that has just started, or was cut off, does not know which versions it has
//! missed.
//!
//! ```
//! use dockgate_core::gateway::{ServiceVersion, SoftwareVersion, VersionHistory};
//!
//! let present = ServiceVersion {
//!     service: 7,
//!     version: SoftwareVersion::from_name("v1"),
//! };
//! let mut history = VersionHistory::default();
//! history.observe([present].into_iter(), true, 1_000);
//! assert_eq!(history.only_version(7, 30_000, 2_000), None);
//! history.observe([present].into_iter(), true, 31_000);
//! assert_eq!(history.only_version(7, 30_000, 31_000), Some(present.version));
//! ```

use super::rendezvous::name_hash;
use super::route_table::EndpointRecord;
use super::software_version::SoftwareVersion;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

/// A software version of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceVersion {
    /// The hash of the service's name.
    pub service: u64,
    /// The version.
    pub version: SoftwareVersion,
}

impl ServiceVersion {
    /// Returns the service and version of an endpoint.
    pub fn of(record: &EndpointRecord) -> Self {
        Self {
            service: name_hash(&record.service),
            version: SoftwareVersion::from_name(&record.version),
        }
    }

    /// Returns the range of all versions of a service.
    pub(super) const fn range(service: u64) -> RangeInclusive<Self> {
        let first = Self {
            service,
            version: SoftwareVersion(u64::MIN),
        };
        let last = Self {
            service,
            version: SoftwareVersion(u64::MAX),
        };
        first..=last
    }
}

/// When endpoints of a version were known.
#[derive(Debug, Clone, Copy)]
struct VersionSighting {
    first_ms: u64,
    last_ms: u64,
}

/// The software versions of the services' endpoints over time.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    sightings: BTreeMap<ServiceVersion, VersionSighting>,
    /// Since when versions are known; `None` until they are observed. Negative if that is before the
    /// clock of this box started.
    known_since_ms: Option<i64>,
    /// When this box last may have missed a version since then.
    missed_ms: Option<u64>,
}

impl VersionHistory {
    /// How long a version is remembered after its last endpoint left, in milliseconds; at least as
    /// long as a stream can be taken up.
    pub const RETENTION_MS: u64 = 120_000;

    /// Records the versions of all known endpoints.
    ///
    /// `is_in_contact` is whether this box hears of changes of the endpoints.
    pub fn observe(
        &mut self,
        present: impl Iterator<Item = ServiceVersion>,
        is_in_contact: bool,
        now_ms: u64,
    ) {
        for version in present {
            self.sighting(version, now_ms).last_ms = now_ms;
        }
        self.sightings
            .retain(|_, sighting| sighting.last_ms + Self::RETENTION_MS >= now_ms);
        self.known_since_ms.get_or_insert(now_ms as i64);
        if !is_in_contact {
            self.missed_ms = Some(now_ms);
        }
    }

    /// Forgets since when versions are known, as this box was suspended.
    pub const fn record_gap(&mut self) {
        self.known_since_ms = None;
    }

    fn sighting(&mut self, version: ServiceVersion, now_ms: u64) -> &mut VersionSighting {
        let sighting = VersionSighting {
            first_ms: now_ms,
            last_ms: now_ms,
        };
        self.sightings.entry(version).or_insert(sighting)
    }

    /// Records versions that another source has listed for long and lists still.
    ///
    /// Their endpoints may have left as early as this box began to hear of all changes: it would
    /// know of those that it heard of later.
    pub fn recall(&mut self, listed: impl Iterator<Item = ServiceVersion>, now_ms: u64) {
        let known_ms = self.known_ms(now_ms);
        let seen_ms = now_ms.saturating_sub(known_ms);
        if known_ms > Self::RETENTION_MS {
            return;
        }
        for version in listed {
            let sighting = self.sighting(version, seen_ms);
            sighting.last_ms = seen_ms.max(sighting.last_ms);
        }
    }

    /// Records that services had no versions within the last `complete_ms` milliseconds beyond these
    /// and those known before, as another source shows.
    pub fn complete(
        &mut self,
        known: impl Iterator<Item = ServiceVersion>,
        complete_ms: u64,
        now_ms: u64,
    ) {
        let known_ms = self.known_ms(now_ms).max(complete_ms);
        for version in known {
            self.sighting(version, now_ms);
        }
        self.known_since_ms = Some(now_ms as i64 - known_ms as i64);
        self.missed_ms = None;
    }

    /// Returns for how long before now all versions are known, in milliseconds.
    pub fn known_ms(&self, now_ms: u64) -> u64 {
        let missed_ms = self.missed_ms.map(|missed_ms| missed_ms as i64);
        let since_ms = self.known_since_ms.max(missed_ms);
        let is_observed = self.known_since_ms.is_some();
        let known_ms = since_ms.map_or(0, |since_ms| now_ms as i64 - since_ms);
        match is_observed {
            true => known_ms.max(0) as u64,
            false => 0,
        }
    }

    /// Returns when a version was first known within the retention, in milliseconds.
    pub fn first_known_ms(&self, version: ServiceVersion) -> Option<u64> {
        let sighting = self.sightings.get(&version);
        sighting.map(|sighting| sighting.first_ms)
    }

    /// Returns whether this box knew another version of the same service earlier.
    pub fn appeared_later(&self, version: ServiceVersion) -> bool {
        let Some(sighting) = self.sightings.get(&version) else {
            return false;
        };
        let mut others = self.sightings.range(ServiceVersion::range(version.service));
        others.any(|(_, other)| other.first_ms < sighting.first_ms)
    }

    /// Returns all versions within the retention.
    pub fn recent(&self) -> BTreeSet<ServiceVersion> {
        self.sightings.keys().copied().collect()
    }

    /// Returns the versions that a service had within the last `within_ms` milliseconds.
    pub fn versions(
        &self,
        service: u64,
        within_ms: u64,
        now_ms: u64,
    ) -> impl Iterator<Item = SoftwareVersion> {
        let known = self.sightings.range(ServiceVersion::range(service));
        let recent = known.filter(move |(_, sighting)| sighting.last_ms + within_ms >= now_ms);
        recent.map(|(known, _)| known.version)
    }

    /// Returns whether a service had more than one version within the retention.
    pub fn is_mixed(&self, service: u64, now_ms: u64) -> bool {
        self.versions(service, Self::RETENTION_MS, now_ms)
            .nth(1)
            .is_some()
    }

    /// Returns whether this box was in contact for the last `within_ms` milliseconds, so that it has
    /// missed no version.
    pub fn is_gapless(&self, within_ms: u64, now_ms: u64) -> bool {
        let is_past = |missed_ms| missed_ms + within_ms < now_ms;
        self.missed_ms.is_none_or(is_past)
    }

    /// Returns the version of a service if this box knew no other one within the last `within_ms`
    /// milliseconds; `None` if it knew several, or has not observed them for so long.
    pub fn only_version(
        &self,
        service: u64,
        within_ms: u64,
        now_ms: u64,
    ) -> Option<SoftwareVersion> {
        let since_ms = self.known_since_ms?;
        let is_complete = since_ms + within_ms as i64 <= now_ms as i64;
        let mut versions = self.versions(service, within_ms, now_ms);
        let only = versions.next().filter(|_| is_complete)?;
        match versions.next() {
            None if only.is_known() => Some(only),
            _ => None,
        }
    }
}

#[cfg(test)]
mod tests;
