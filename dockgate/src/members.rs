//! The boxes of the fleet, from the platform's lagging list.

use crate::dispatch::DispatchHandle;
use dockgate_core::BoxKey;
use dockgate_platform::{BoxRecord, BoxState, PlatformClient};
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

impl From<BoxRecord> for MemberBox {
    fn from(record: BoxRecord) -> Self {
        Self {
            key: BoxKey::from_name(&record.name),
            name: record.name,
            domain: record.domain,
            address: record.peer_address,
            leaving: record.state == BoxState::Leaving,
        }
    }
}

/// Watches the list, and hands changes to the dispatcher; the last list stands while the platform's
/// service is out.
///
/// A watch and not a poll: at 380 boxes the list is some 40 KB, and reading it every two seconds
/// would cost more than all that a node may send.
pub(crate) async fn follow_members(
    client: PlatformClient,
    domain: String,
    me: BoxKey,
    wait: Duration,
    dispatch: DispatchHandle,
) {
    let mut revision = 0;
    loop {
        match client.watch_boxes(&domain, revision, wait).await {
            Ok(Some((records, seen))) => {
                revision = seen;
                let others = records.into_iter().map(MemberBox::from);
                dispatch.set_members(others.filter(|member| member.key != me).collect());
            }
            Ok(None) => {}
            Err(error) => {
                log::warn!("{error}");
                let pause = rand::random_range(RETRY_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }
}
