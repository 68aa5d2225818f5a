//! The boxes of the fleet, from the platform's lagging list.

use crate::dispatch::DispatchHandle;
use dockgate_core::BoxKey;
use dockgate_platform::{BoxRecord, BoxState, PlatformClient};
use std::net::SocketAddr;
use std::time::Duration;

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

/// Reads the list again and again, and hands changes to the dispatcher; the last list stands while
/// the platform's service is out.
pub(crate) async fn follow_members(
    client: PlatformClient,
    domain: String,
    me: BoxKey,
    every: Duration,
    dispatch: DispatchHandle,
) {
    let mut last = None;
    loop {
        match client.boxes(&domain).await {
            Ok(records) => {
                let others = records.into_iter().map(MemberBox::from);
                let members: Vec<MemberBox> = others.filter(|member| member.key != me).collect();
                if last.as_ref() != Some(&members) {
                    dispatch.set_members(members.clone());
                    last = Some(members);
                }
            }
            Err(error) => log::warn!("{error}"),
        }
        tokio::time::sleep(every).await;
    }
}
