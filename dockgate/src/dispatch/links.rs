//! The links to peers, as the control actor sees them.

use crate::clock::now_ms;
use crate::link::LinkSender;
use crate::members::MemberBox;
use dockgate_core::{BoxKey, LiveBox, PoolKey};
use dockgate_proto::PeerMessage;
use std::collections::{BTreeMap, HashMap};

/// A box and the link to it.
pub(super) struct PeerLink {
    pub(super) member: MemberBox,
    pub(super) sender: LinkSender,
    pub(super) linked: bool,
    pub(super) changed_ms: u64,
    /// When the peer was last heard of.
    heard_ms: u64,
    /// Settles that a broken link did not deliver.
    pub(super) settles: Vec<PeerMessage>,
    /// The free slots that the peer was last told of.
    told_free: HashMap<PoolKey, u32>,
}

impl PeerLink {
    /// How long a link may be closed before its box is passed over, at the least, in milliseconds.
    const REOPEN_MS: u64 = 300;

    pub(super) fn new(member: MemberBox, sender: LinkSender) -> Self {
        Self {
            member,
            sender,
            linked: false,
            changed_ms: now_ms(),
            heard_ms: now_ms(),
            settles: Vec::new(),
            told_free: HashMap::new(),
        }
    }

    /// Notes that the link is open, or that the peer has answered.
    pub(super) fn note_heard(&mut self) {
        self.heard_ms = now_ms();
    }

    /// Notes that the link is closed; returns whether it was open.
    ///
    /// The box is alive for the rest of the time since it was last heard of, but long enough for
    /// the link to be opened again where only the connection was lost.
    pub(super) fn close(&mut self, suspect_ms: u64) -> bool {
        let reopen_until = (now_ms() + Self::REOPEN_MS).saturating_sub(suspect_ms);
        let was_open = std::mem::take(&mut self.linked);
        if was_open {
            self.changed_ms = self.heard_ms.max(reopen_until);
        }
        was_open
    }

    /// Tells whether the box counts as alive: linked, or not closed for long.
    fn alive(&self, suspect_ms: u64) -> bool {
        self.linked || now_ms() < self.changed_ms + suspect_ms
    }
}

/// Every other box of the fleet.
#[derive(Default)]
pub(super) struct PeerLinks {
    links: BTreeMap<BoxKey, PeerLink>,
}

impl PeerLinks {
    /// The most settles that are kept for a peer that cannot be reached.
    const MOST_SETTLES: usize = 10_000;

    pub(super) fn get_mut(&mut self, key: BoxKey) -> Option<&mut PeerLink> {
        self.links.get_mut(&key)
    }

    pub(super) fn is_linked(&self, key: BoxKey) -> bool {
        self.links.get(&key).is_some_and(|link| link.linked)
    }

    /// Returns a box's name, or its key where it is not on the list.
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

    /// Sends a message if the link is open; keeps settles for later, drops the rest.
    pub(super) fn send(&mut self, to: BoxKey, message: PeerMessage) {
        match self.links.get_mut(&to) {
            Some(link) if link.linked => link.sender.send(message),
            Some(link) => Self::keep(link, &message),
            None => {}
        }
    }

    fn keep(link: &mut PeerLink, message: &PeerMessage) {
        let settle = match *message {
            PeerMessage::Settle(id, cost) => PeerMessage::Settle(id, cost),
            // What was lost with the link says nothing of the endpoint any more.
            PeerMessage::Lost(id, cost) => PeerMessage::Settle(id, cost),
            PeerMessage::Refused(id) | PeerMessage::Backoff(id, _) => PeerMessage::Settle(id, 0),
            _ => return,
        };
        if link.settles.len() < Self::MOST_SETTLES {
            link.settles.push(settle);
        }
    }

    /// Lists the boxes seen alive, this one included.
    pub(super) fn live_boxes(&self, me: &LiveBox, suspect_ms: u64) -> Vec<LiveBox> {
        let others = self
            .links
            .values()
            .filter(|link| link.alive(suspect_ms))
            .map(|link| LiveBox {
                key: link.member.key,
                domain: link.member.domain.clone(),
                may_schedule: !link.member.leaving,
            });
        std::iter::once(me.clone()).chain(others).collect()
    }

    /// Lists what a peer should be told of free slots: from none to some and back, or twice as many.
    pub(super) fn free_news(
        &mut self,
        to: BoxKey,
        free: &BTreeMap<PoolKey, u32>,
    ) -> Vec<PeerMessage> {
        let Some(link) = self.links.get_mut(&to) else {
            return Vec::new();
        };
        let mut news = Vec::new();
        for (pool, free) in free {
            let told = link.told_free.entry(*pool).or_default();
            let same_side = (*told == 0) == (*free == 0);
            if !same_side || *free > *told * 2 || *free * 2 < *told {
                *told = *free;
                news.push(PeerMessage::FreeSlots(*pool, *free));
            }
        }
        news
    }

    /// Forgets what a peer was told, as when its link opens anew.
    pub(super) fn forget_told(&mut self, key: BoxKey) {
        if let Some(link) = self.links.get_mut(&key) {
            link.told_free.clear();
        }
    }
}
