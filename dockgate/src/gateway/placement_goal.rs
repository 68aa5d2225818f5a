//! What an endpoint is sought for, and which endpoints that allows.
//!
//! A stream is *taken up* if its caller sends a new request for the rest of it, and *resumed* if the
//! box continues it within the same answer. A *replacement* is an endpoint that takes over from one
//! that is silent and may still answer.

use dockgate_core::gateway::{EndpointHealth, EndpointId, ReadyEndpoint, SoftwareVersion};
use std::borrow::Cow;

/// What an endpoint is sought for.
///
/// Endpoints of different software versions produce different events for the same request, so a
/// stream continues only at the version that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementGoal {
    /// A request of which no event has been forwarded.
    Begin,
    /// A stream that its caller takes up at this box.
    TakeUp(SoftwareVersion),
    /// A stream that continues within the same answer after its endpoint was lost.
    Resume(SoftwareVersion),
}

impl PlacementGoal {
    /// Returns whether a stream continues within the same answer.
    pub(super) const fn is_resume(self) -> bool {
        matches!(self, Self::Resume(_))
    }

    /// Returns whether a stream continues, so that its caller has already received events.
    pub(super) const fn continues(self) -> bool {
        !matches!(self, Self::Begin)
    }

    /// Returns whether an endpoint of this version may be used.
    pub(super) fn allows(self, version: SoftwareVersion) -> bool {
        match self {
            Self::Begin => true,
            Self::TakeUp(began_at) | Self::Resume(began_at) => {
                began_at.is_known() && version == began_at
            }
        }
    }

    /// Returns the endpoints that may be used.
    pub(super) fn allowed(self, ready: &[ReadyEndpoint]) -> Cow<'_, [ReadyEndpoint]> {
        if ready.iter().all(|ready| self.allows(ready.version)) {
            return Cow::Borrowed(ready);
        }
        let allowed = ready.iter().filter(|ready| self.allows(ready.version));
        allowed.copied().collect()
    }
}

/// Which endpoints may be selected for the next attempt of a request.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndpointSearch<'a> {
    /// The endpoints that were tried already.
    pub(super) tried: &'a [EndpointId],
    pub(super) goal: PlacementGoal,
    /// Whether the endpoint takes over from one that may still answer, so that it has to be a better
    /// choice than that one.
    pub(super) is_replacement: bool,
}

impl EndpointSearch<'_> {
    /// Returns whether an endpoint of this health may be used.
    pub(super) const fn accepts(&self, health: &EndpointHealth) -> bool {
        !self.is_replacement || !health.is_failing()
    }
}
