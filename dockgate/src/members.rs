//! The boxes of the fleet, from the records of the platform, which may lag behind.

use crate::dispatch::DispatchHandle;
use crate::probed_wait::watch_with_probes;
use dockgate_core::BoxKey;
use dockgate_platform::{
    BOX_KEY_PREFIX, BoxRecord, BoxState, PlatformClient, StoreListing, WatchOutcome,
};
use std::net::SocketAddr;
use std::time::Duration;

/// Random delay after a failed call to the platform, in milliseconds.
pub(crate) const RETRY_DELAY_MS: std::ops::Range<u64> = 200..600;

/// Another box of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberBox {
    /// Its key.
    pub(crate) key: BoxKey,
    /// Its name.
    pub(crate) name: String,
    /// Its failure domain.
    pub(crate) domain: String,
    /// The address of its peer listener.
    pub(crate) address: SocketAddr,
    /// Whether it is leaving.
    pub(crate) leaving: bool,
}

impl MemberBox {
    /// Converts the record of a box, with its address for peers in `domain`.
    fn from_record(domain: &str, record: &BoxRecord) -> Self {
        Self {
            key: BoxKey::from_name(&record.name),
            name: record.name.clone(),
            domain: record.domain.clone(),
            address: record.address_from(domain),
            leaving: record.state == BoxState::Leaving,
        }
    }
}

/// Follows the records of boxes until the process ends.
pub(crate) async fn follow_members(
    client: PlatformClient,
    domain: String,
    local_box: BoxKey,
    watch_timeout: Duration,
    dispatch: DispatchHandle,
) {
    loop {
        match client.list(BOX_KEY_PREFIX).await {
            Ok(listing) => {
                dispatch.set_members(other_boxes(&listing, &domain, local_box));
                wait_for_change(&client, &listing, watch_timeout).await;
            }
            Err(error) => {
                log::warn!("{error}");
                retry_delay().await;
            }
        }
    }
}

/// Decodes the records of all boxes but this one; logs and skips invalid records.
fn other_boxes(listing: &StoreListing, domain: &str, local_box: BoxKey) -> Vec<MemberBox> {
    let records = listing.items.iter();
    let records = records.filter_map(|item| match BoxRecord::decode(&item.key, &item.bytes) {
        Ok(record) => Some(MemberBox::from_record(domain, &record)),
        Err(error) => {
            log::warn!("{error}");
            None
        }
    });
    records.filter(|member| member.key != local_box).collect()
}

/// Waits until a record changes or it is unknown whether one did.
async fn wait_for_change(client: &PlatformClient, listing: &StoreListing, watch_timeout: Duration) {
    let mut since = listing.revision;
    loop {
        match watch_with_probes(client, BOX_KEY_PREFIX, since, watch_timeout).await {
            Ok(WatchOutcome::Changes(changes))
                if changes.events.is_empty() && changes.era == listing.era =>
            {
                since = changes.revision;
            }
            Ok(_) => return,
            Err(error) => {
                log::warn!("{error}");
                retry_delay().await;
                return;
            }
        }
    }
}

async fn retry_delay() {
    let delay = rand::random_range(RETRY_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(delay)).await;
}
