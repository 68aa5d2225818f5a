//! What an endpoint is sought for, and which endpoints that allows.
//!
//! A stream is *taken up* if its caller sends a new request for the rest of it, and *resumed* if the
//! box continues it within the same answer. A *replacement* is an endpoint that takes over from one
//! that is silent and may still answer.

use super::gateway_state::GatewayView;
use dockgate_core::gateway::{
    EndpointHealth, EndpointId, ReadyEndpoint, ServiceVersion, SoftwareVersion, name_hash,
};
use std::borrow::Cow;

/// What an endpoint is sought for.
///
/// Endpoints of different software versions produce different events for the same request, so a
/// stream continues only at the version that began it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PlacementGoal {
    /// A request of which no event has been forwarded.
    Begin,
    /// The same, if its caller may take the stream up at another box. It does not begin at a
    /// version that the ledger does not admit, as long as another one is served.
    BeginResumable,
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
        matches!(self, Self::TakeUp(_) | Self::Resume(_))
    }

    /// Returns whether an endpoint of this version may be used as far as the stream is concerned.
    fn allows(self, version: SoftwareVersion) -> bool {
        match self {
            Self::Begin | Self::BeginResumable => true,
            Self::TakeUp(began_at) | Self::Resume(began_at) => {
                began_at.is_known() && version == began_at
            }
        }
    }
}

impl GatewayView {
    /// Returns whether endpoints of a version of the service may be used for a goal.
    pub(super) fn version_rule(
        &self,
        goal: PlacementGoal,
        service: &str,
    ) -> impl Fn(SoftwareVersion) -> bool + use<'_> {
        let service_hash = name_hash(service);
        let is_admitted = move |version| {
            let service = service_hash;
            !self
                .ledger
                .is_unadmitted(ServiceVersion { service, version })
        };
        let is_restricted = goal == PlacementGoal::BeginResumable && !self.ledger.admits_all() && {
            let mut ready = self.endpoints.ready(service).iter();
            ready.any(|ready| is_admitted(ready.version))
        };
        move |version| goal.allows(version) && (!is_restricted || is_admitted(version))
    }
}

/// Returns the endpoints of the versions that may be used.
pub(super) fn allowed_endpoints(
    ready: &[ReadyEndpoint],
    is_allowed: impl Fn(SoftwareVersion) -> bool,
) -> Cow<'_, [ReadyEndpoint]> {
    if ready.iter().all(|ready| is_allowed(ready.version)) {
        return Cow::Borrowed(ready);
    }
    let allowed = ready.iter().filter(|ready| is_allowed(ready.version));
    allowed.copied().collect()
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
