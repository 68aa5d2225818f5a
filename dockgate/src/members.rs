//! The boxes of the fleet, from the platform's lagging list.

use crate::dispatch::DispatchHandle;
use crate::probed_wait::wait_probed;
use dockgate_core::BoxKey;
use dockgate_platform::{
    BOX_KEY_PREFIX, BoxRecord, BoxState, PlatformClient, StoreListing, WatchOutcome,
};
use std::net::SocketAddr;
use std::time::Duration;

/// How long to wait after the platform's service failed, in milliseconds.
pub(crate) const RETRY_MS: std::ops::Range<u64> = 200..600;

/// Another box of the fleet.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct MemberBox {
    /// Its key.
    pub(crate) key: BoxKey,
    /// Its name.
    pub(crate) name: String,
    /// Its failure domain.
    pub(crate) domain: String,
    /// Where its peer door is.
    pub(crate) address: SocketAddr,
    /// Whether it is leaving.
    pub(crate) leaving: bool,
}

impl MemberBox {
    /// Makes a member of its record, as seen from a failure domain.
    fn seen_from(domain: &str, record: &BoxRecord) -> Self {
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
    me: BoxKey,
    wait: Duration,
    dispatch: DispatchHandle,
) {
    loop {
        match client.list(BOX_KEY_PREFIX).await {
            Ok(listing) => {
                dispatch.set_members(others(&listing, &domain, me));
                wait_for_change(&client, &listing, wait).await;
            }
            Err(error) => {
                log::warn!("{error}");
                pause().await;
            }
        }
    }
}

/// Reads the records of all boxes but this one; one that cannot be read is passed over.
fn others(listing: &StoreListing, domain: &str, me: BoxKey) -> Vec<MemberBox> {
    let records = listing.items.iter();
    let records = records.filter_map(|item| match BoxRecord::decode(&item.key, &item.bytes) {
        Ok(record) => Some(MemberBox::seen_from(domain, &record)),
        Err(error) => {
            log::warn!("{error}");
            None
        }
    });
    records.filter(|member| member.key != me).collect()
}

/// Waits until any record changes, or until it is not known whether one did.
async fn wait_for_change(client: &PlatformClient, listing: &StoreListing, wait: Duration) {
    let mut since = listing.revision;
    loop {
        let watch = client.watch(BOX_KEY_PREFIX, since, wait);
        match wait_probed(client, watch).await {
            Ok(WatchOutcome::Changes(changes))
                if changes.events.is_empty() && changes.era == listing.era =>
            {
                since = changes.revision;
            }
            Ok(_) => return,
            Err(error) => {
                log::warn!("{error}");
                pause().await;
                return;
            }
        }
    }
}

async fn pause() {
    let pause = rand::random_range(RETRY_MS);
    tokio::time::sleep(Duration::from_millis(pause)).await;
}
