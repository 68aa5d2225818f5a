//! The control actor's state of the links to peers.

use crate::clock::now_ms;
use crate::link_task::LinkSender;
use crate::members::MemberBox;
use dockgate_core::{BoxKey, LiveBox, PoolKey};
use dockgate_proto::PeerMessage;
use std::collections::{BTreeMap, HashMap};

/// A box and the state of the link to it.
pub(super) struct PeerLink {
    pub(super) member: MemberBox,
    pub(super) sender: LinkSender,
    pub(super) linked: bool,
    /// When the link was opened or, if it is closed, when its suspect time begins, in milliseconds
    /// of the daemon's clock.
    pub(super) changed_ms: u64,
    /// When the peer was last in contact, in milliseconds of the daemon's clock.
    last_contact_ms: u64,
    /// Settles to deliver in the next hello.
    pub(super) undelivered_settles: Vec<PeerMessage>,
    /// The free slots last announced to the peer.
    announced_free: HashMap<PoolKey, u32>,
}

impl PeerLink {
    /// The minimum time to reopen a link before its box counts as dead, in milliseconds.
    const REOPEN_MS: u64 = 300;

    pub(super) fn new(member: MemberBox, sender: LinkSender) -> Self {
        Self {
            member,
            sender,
            linked: false,
            changed_ms: now_ms(),
            last_contact_ms: now_ms(),
            undelivered_settles: Vec::new(),
            announced_free: HashMap::new(),
        }
    }

    /// Records that the link was opened or that a batch of the peer arrived.
    pub(super) fn record_contact(&mut self) {
        self.last_contact_ms = now_ms();
    }

    /// Marks the link as closed and returns whether it was open.
    ///
    /// The suspect time counts from the last contact, but leaves at least [`Self::REOPEN_MS`] to
    /// reopen the link if only the connection was lost.
    pub(super) fn close(&mut self, suspect_ms: u64) -> bool {
        let reopen_until = (now_ms() + Self::REOPEN_MS).saturating_sub(suspect_ms);
        let was_open = std::mem::take(&mut self.linked);
        if was_open {
            self.changed_ms = self.last_contact_ms.max(reopen_until);
        }
        was_open
    }

    /// Returns whether the box counts as alive: linked, or closed for less than the suspect time.
    fn is_alive(&self, suspect_ms: u64) -> bool {
        self.linked || now_ms() < self.changed_ms + suspect_ms
    }
}

/// The links to all other boxes of the fleet.
#[derive(Default)]
pub(super) struct PeerLinks {
    links: BTreeMap<BoxKey, PeerLink>,
}

impl PeerLinks {
    /// The maximum number of settles kept for an unreachable peer.
    const MAX_SETTLES: usize = 10_000;

    pub(super) fn get_mut(&mut self, key: BoxKey) -> Option<&mut PeerLink> {
        self.links.get_mut(&key)
    }

    pub(super) fn is_linked(&self, key: BoxKey) -> bool {
        self.links.get(&key).is_some_and(|link| link.linked)
    }

    /// Returns the name of a box, or its key if it is not in the list.
    pub(super) fn name(&self, key: BoxKey) -> String {
        let link = self.links.get(&key);
        link.map_or_else(|| key.to_string(), |link| link.member.name.clone())
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &PeerLink> {
        self.links.values()
    }

    pub(super) fn insert(&mut self, link: PeerLink) {
        self.links.insert(link.member.key, link);
    }

    pub(super) fn remove(&mut self, key: BoxKey) -> Option<PeerLink> {
        self.links.remove(&key)
    }

    pub(super) fn keys(&self) -> Vec<BoxKey> {
        self.links.keys().copied().collect()
    }

    pub(super) fn linked_count(&self) -> usize {
        self.links.values().filter(|link| link.linked).count()
    }

    /// Sends a message if the link is open, else keeps settles and drops all other messages.
    pub(super) fn send(&mut self, to: BoxKey, message: PeerMessage) {
        match self.links.get_mut(&to) {
            Some(link) if link.linked => link.sender.send(message),
            Some(link) => Self::keep_settle(link, &message),
            None => {}
        }
    }

    fn keep_settle(link: &mut PeerLink, message: &PeerMessage) {
        let settle = match *message {
            PeerMessage::Settle(id, cost) => PeerMessage::Settle(id, cost),
            // By the next hello, the state of the endpoint is outdated.
            PeerMessage::Lost(id, cost) => PeerMessage::Settle(id, cost),
            PeerMessage::Refused(id) | PeerMessage::Backoff(id, _) => PeerMessage::Settle(id, 0),
            _ => return,
        };
        if link.undelivered_settles.len() < Self::MAX_SETTLES {
            link.undelivered_settles.push(settle);
        }
    }

    /// Returns the boxes that count as alive, including this one.
    pub(super) fn live_boxes(&self, local_box: &LiveBox, suspect_ms: u64) -> Vec<LiveBox> {
        let others = self
            .links
            .values()
            .filter(|link| link.is_alive(suspect_ms))
            .map(|link| LiveBox {
                key: link.member.key,
                domain: link.member.domain.clone(),
                may_schedule: !link.member.leaving,
            });
        std::iter::once(local_box.clone()).chain(others).collect()
    }

    /// Returns the changes of free slots to announce to a peer.
    ///
    /// A change is announced if a pool becomes full or stops being full, or if its free slots more
    /// than double or halve.
    pub(super) fn free_slot_updates(
        &mut self,
        to: BoxKey,
        free: &BTreeMap<PoolKey, u32>,
    ) -> Vec<PeerMessage> {
        let Some(link) = self.links.get_mut(&to) else {
            return Vec::new();
        };
        let mut updates = Vec::new();
        for (pool, free) in free {
            let announced = link.announced_free.entry(*pool).or_default();
            let same_availability = (*announced == 0) == (*free == 0);
            if !same_availability || *free > *announced * 2 || *free * 2 < *announced {
                *announced = *free;
                updates.push(PeerMessage::FreeSlots(*pool, *free));
            }
        }
        updates
    }

    /// Forgets the free slots announced to a peer, which has opened a new link.
    pub(super) fn forget_announced(&mut self, key: BoxKey) {
        if let Some(link) = self.links.get_mut(&key) {
            link.announced_free.clear();
        }
    }
}
