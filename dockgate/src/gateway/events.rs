//! Log events of a gateway: one typed line per decision, with the data that it was based on.

use super::gateway_metrics::GATEWAY_METRICS;
use super::settings::GatewaySettings;
use super::workspace_report::WorkspaceReport;
use crate::clock::now_ms;
use crate::logging::{LineRateLimiter, log_line};
use dockgate_core::gateway::{
    EndpointChange, EndpointRecord, EndpointState, EvacuationOrder, name_hash,
};
use serde::Serialize;
use std::sync::{Mutex, PoisonError};

/// An engine that declined to admit a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct DeclinedEngine {
    /// Id of the endpoint's lifetime.
    pub(super) endpoint: String,
    /// Predicted time to the first event, in milliseconds.
    pub(super) first_event_ms: u32,
    /// Name of the box that made the decision.
    pub(super) decided_by: String,
}

/// An event that a gateway logs.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum GatewayEvent<'a> {
    /// The process has started with these settings.
    Started { settings: &'a GatewaySettings },
    /// The box resumed after a suspension, which its monotonic clock does not count.
    Woke { away_ms: u64 },
    /// A supervised task panicked and will be restarted.
    TaskPanicked {
        task: &'a str,
        problem: &'a str,
        again_ms: u64,
    },
    /// The process received a stop signal; `open` connections are open.
    Stopping { open: usize },
    /// The process ends; `cut` requests are aborted.
    Stopped { in_time: bool, cut: usize },
    /// A request is aborted because the process ends.
    Cut {
        request: &'a str,
        route: &'a str,
        workspace: &'a str,
        stage: &'a str,
        sends: u32,
        /// Time from the stop signal to the arrival of the request; `None` if it arrived before.
        after_stop_ms: Option<u64>,
        /// The duration that was predicted when the request was admitted.
        predicted_ms: u64,
        waited_ms: u64,
    },
    /// The settings were reloaded, on a signal or because the file changed.
    Reloaded {
        signal: bool,
        changed: bool,
        problem: Option<&'a str>,
    },
    /// A configuration took effect.
    RoutesInForce {
        old: u64,
        version: u64,
        source: &'a str,
        routes: usize,
        workspaces: usize,
    },
    /// A stored value is invalid; the previous one stays in effect.
    Unreadable { what: &'a str, problem: String },
    /// An endpoint accepts requests.
    EndpointReady {
        endpoint: &'a str,
        /// Start of this lifetime in Unix milliseconds by the endpoint's clock, if it is recorded.
        born_ms: Option<u64>,
        service: &'a str,
        domain: &'a str,
        /// The version of its software.
        version: &'a str,
        revision: u64,
        source: &'a str,
    },
    /// An endpoint accepts no new requests.
    EndpointDraining {
        endpoint: &'a str,
        revision: u64,
        source: &'a str,
    },
    /// The record of an endpoint is invalid; the endpoint gets no new requests until it has
    /// rewritten the record.
    EndpointUnusable {
        endpoint: &'a str,
        revision: u64,
        source: &'a str,
    },
    /// A response announced for the first time at this box that its endpoint is leaving.
    EndpointLeaves { endpoint: &'a str, request: &'a str },
    /// A response rejected a request and asked this box to back off from the endpoint.
    EndpointRests {
        endpoint: &'a str,
        request: &'a str,
        for_ms: u64,
    },
    /// An endpoint was removed.
    EndpointGone { endpoint: &'a str, source: &'a str },
    /// A full listing of the endpoints differed from the known state.
    EndpointsListed {
        count: usize,
        revision: u64,
        source: &'a str,
    },
    /// The versions of streams were read from the store.
    StreamsLoaded {
        streams: usize,
        /// Number of values that could not be read.
        unreadable: usize,
        revision: u64,
    },
    /// Another box did not answer a request for newer state.
    StateUnanswered {
        peer: &'a str,
        what: &'a str,
        took_ms: u64,
        problem: String,
    },
    /// The operator ordered to send nothing to the endpoints of a failure domain.
    DomainEvacuated {
        domain: &'a str,
        revision: u64,
        source: &'a str,
    },
    /// The evacuation of a failure domain was taken back.
    EvacuationTakenBack {
        domain: &'a str,
        revision: u64,
        source: &'a str,
    },
    /// The weight of an engine in the placement of prompts changed, as its speed did relative to
    /// the other engines of its service; logged by the box that owns it.
    EngineWeight {
        endpoint: &'a str,
        from: f64,
        to: f64,
    },
    /// A call to the store failed after the store was reachable.
    StoreLost { step: &'a str, problem: String },
    /// The store is reachable again.
    StoreBack { step: &'a str, away_ms: u64 },
    /// A watch of the keys of `what` missed changes that the store had after `since`; they are read
    /// now. `latest` is the store's revision, which other answers reported, the first one `behind_ms`
    /// ago.
    StoreWatchMute {
        what: &'a str,
        since: u64,
        latest: u64,
        behind_ms: u64,
    },
    /// The store was restored from an older copy and all its contents are listed again. The
    /// endpoints were known up to `revision` of the previous era.
    StoreEra {
        from: u64,
        to: u64,
        revision: u64,
        source: &'a str,
    },
    /// The store no longer has the changes since a revision; its contents are listed again.
    StoreHistoryLost { what: &'a str, since: u64 },
    /// Tasks wait too long for the processor; new callers are diverted to other boxes.
    Overloaded { lag_ms: u64 },
    /// The overload is over.
    CaughtUp { lag_ms: u64, for_ms: u64 },
    /// The use of memory has reached the limit from which on workspaces beyond their portion are
    /// refused; new callers are diverted to other boxes.
    MemoryShort {
        used_kb: u64,
        /// Resident memory of the process, if it can be read.
        resident_kb: Option<u64>,
    },
    /// The box has memory again.
    MemoryBack {
        used_kb: u64,
        resident_kb: Option<u64>,
    },
    /// A first heartbeat of another box was received.
    BoxSeen { peer: &'a str, domain: &'a str },
    /// The heartbeats of a box have ceased.
    BoxGone { peer: &'a str },
    /// No endpoint of a failure domain is reachable; it gets no requests until one answers.
    DomainCut { domain: &'a str },
    /// A failure domain is reachable again.
    DomainBack { domain: &'a str, for_ms: u64 },
    /// Demand and admissions of workspaces at this box since the previous event, logged after
    /// refusals only.
    Shares {
        /// Age of the fleet's totals from the coordinator; `None` if this box computes them.
        told_ms: Option<u64>,
        workspaces: &'a [WorkspaceReport],
    },
    /// The number of request lines that exceeded the rate limit and were not written.
    LinesHeldBack { count: u64 },
    /// A request was sent to an endpoint.
    Sent {
        request: &'a str,
        route: &'a str,
        workspace: &'a str,
        /// Tokens of the prompt, for prompts.
        tokens: Option<u32>,
        endpoint: &'a str,
        /// The version of the endpoint's software.
        version: &'a str,
        /// The last event that the caller received, if it takes up a stream.
        after_event: Option<u64>,
        /// The request that brought the first event of that stream, if the caller names it.
        resumes: Option<&'a str>,
        attempt: u32,
        /// Predicted time to the first event, for engines.
        expected_ms: Option<u32>,
        /// Name of the box that made the decision.
        decided_by: &'a str,
        config: u64,
        config_age_ms: u64,
        revision: u64,
        endpoints_age_ms: u64,
    },
    /// An endpoint ended while it ran requests: its address refuses connections.
    EndpointEnded {
        endpoint: &'a str,
        /// Fingerprints of the requests that it interrupted at this box.
        under: &'a [String],
        /// Shared parts of the interrupted prompts, those of most prompts first; limited.
        parts: &'a [String],
    },
    /// A request, or a part of prompts, was quarantined because these endpoint lifetimes ended while
    /// they ran it. `source` names the origin of the information.
    RequestQuarantined {
        print: &'a str,
        kind: &'a str,
        endpoints: &'a [String],
        source: &'a str,
    },
    /// A quarantined request is sent once as a trial.
    RequestTried {
        print: &'a str,
        kind: &'a str,
        trials: u8,
    },
    /// A request left quarantine after it completed or an operator released it.
    RequestReleased {
        print: &'a str,
        kind: &'a str,
        source: &'a str,
    },
    /// An attempt at an endpoint gave no response that can be forwarded.
    SendFailed {
        request: &'a str,
        /// Fingerprint of the request, if the response was interrupted.
        print: Option<String>,
        /// Shared parts of its prompt, if the response was interrupted; limited.
        parts: Vec<String>,
        endpoint: &'a str,
        attempt: u32,
        ran: &'a str,
        problem: &'a str,
        /// Predicted time to the first event, for engines.
        expected_ms: Option<u32>,
        took_ms: u64,
    },
    /// A stream was resumed at another endpoint.
    Resumed {
        request: &'a str,
        /// The endpoint that was lost.
        lost: &'a str,
        /// The version of the lost endpoint's software.
        began_at: &'a str,
        endpoint: &'a str,
        /// The version of the software of the endpoint that continues.
        version: &'a str,
        after_event: u64,
        problem: &'a str,
    },
    /// An endpoint sent an event that does not follow the one before it; it is given up.
    EventRejected {
        request: &'a str,
        endpoint: &'a str,
        fault: &'a str,
        /// The id of the event, if it has a readable one.
        id: Option<u64>,
        /// The last event that was forwarded, if the events are numbered.
        after_event: Option<u64>,
    },
    /// A caller takes up a stream.
    TakenUp {
        request: &'a str,
        /// The request that brought the first event, if the caller names it.
        resumes: Option<&'a str>,
        /// How its software version was found, or why it is refused.
        origin: &'a str,
        /// The number of boxes that were asked for it, and of those that answered.
        asked: usize,
        answered: usize,
        /// What the store says of the stream, if it was read.
        stored: Option<&'a str>,
        /// The number of versions of the service that this box has known within the last minutes.
        versions: usize,
        took_ms: u64,
    },
    /// The versions of the services were compared with those in the store.
    VersionsExchanged {
        /// The number of versions in the store; none if there is no readable value.
        stored: Option<usize>,
        /// The number of versions that this box has known within the last minutes.
        known: usize,
        /// Whether they were written, or why not.
        outcome: &'a str,
    },
    /// A request was refused or abandoned.
    Refused {
        request: &'a str,
        route: &'a str,
        workspace: &'a str,
        /// Tokens of the prompt, for prompts.
        tokens: Option<u32>,
        status: u16,
        reason: &'a str,
        ran: &'a str,
        /// What is in quarantine, if that is the reason: the fingerprint of the request, or the key
        /// of a part of its prompt.
        print: Option<String>,
        /// That part, as callers name it.
        part: Option<&'a str>,
        waited_ms: u64,
        retry_after_ms: Option<u64>,
        /// For prompts: the engines that declined, with their predictions.
        asked: &'a [DeclinedEngine],
        /// For prompts: usage of the workspace as a multiple of its share.
        share: Option<f64>,
        config: u64,
        config_age_ms: u64,
        endpoints_age_ms: u64,
    },
    /// A request was answered.
    Answered {
        request: &'a str,
        route: &'a str,
        endpoint: &'a str,
        status: u16,
        first_ms: u64,
        took_ms: u64,
        events: u64,
        attempts: u32,
    },
    /// The caller disconnected before its response was complete; its request was aborted.
    CallerLeft {
        request: &'a str,
        route: &'a str,
        workspace: &'a str,
        /// Stage of the request: `placing`, `sent` or `answering`.
        stage: &'a str,
        /// Number of attempts that were sent to endpoints.
        sends: u32,
        /// Time from its arrival until the disconnect was detected.
        waited_ms: u64,
        /// Time for which tasks wait for the processor at this box.
        lag_ms: u64,
    },
    /// A response was interrupted.
    BrokenOff {
        request: &'a str,
        /// Fingerprint of the request.
        print: String,
        endpoint: &'a str,
        events: u64,
        took_ms: u64,
        reason: &'a str,
    },
}

impl<'a> GatewayEvent<'a> {
    /// Creates the event for a change of an endpoint.
    pub(super) fn endpoint(change: &'a EndpointChange, source: &'a str) -> Self {
        match change {
            EndpointChange::Put(record, revision)
            | EndpointChange::Deferred(record, revision, _) => {
                Self::endpoint_written(record, revision.number, source)
            }
            EndpointChange::Unusable(id, revision) => Self::EndpointUnusable {
                endpoint: id,
                revision: revision.number,
                source,
            },
            EndpointChange::Removed(id, _) => Self::EndpointGone {
                endpoint: id,
                source,
            },
        }
    }

    /// Creates the event for an order that changes whether its failure domain is evacuated.
    pub(super) const fn evacuation(
        order: &EvacuationOrder,
        domain: &'a str,
        source: &'a str,
    ) -> Self {
        let revision = order.revision.number;
        match order.is_active {
            true => Self::DomainEvacuated {
                domain,
                revision,
                source,
            },
            false => Self::EvacuationTakenBack {
                domain,
                revision,
                source,
            },
        }
    }

    fn endpoint_written(record: &'a EndpointRecord, revision: u64, source: &'a str) -> Self {
        let endpoint = &record.id;
        match record.state {
            EndpointState::Ready => Self::EndpointReady {
                endpoint,
                born_ms: record.started_ms,
                service: &record.service,
                domain: &record.domain,
                version: &record.version,
                revision,
                source,
            },
            EndpointState::Draining => Self::EndpointDraining {
                endpoint,
                revision,
                source,
            },
            EndpointState::Unusable => Self::EndpointUnusable {
                endpoint,
                revision,
                source,
            },
        }
    }

    /// Returns whether the rate of such events is unbounded, so that it has to be limited.
    fn is_frequent(&self) -> bool {
        match self.request() {
            Some(request) => !is_sampled(request),
            // The rate depends on the processes that write to the store.
            None => matches!(self, Self::Unreadable { .. }),
        }
    }

    /// Returns the id of the request that the event is about.
    const fn request(&self) -> Option<&'a str> {
        match self {
            Self::Sent { request, .. }
            | Self::SendFailed { request, .. }
            | Self::Resumed { request, .. }
            | Self::EventRejected { request, .. }
            | Self::TakenUp { request, .. }
            | Self::Refused { request, .. }
            | Self::Answered { request, .. }
            | Self::CallerLeft { request, .. }
            | Self::BrokenOff { request, .. } => Some(request),
            _ => None,
        }
    }
}

/// Returns whether all lines of a request are exempt from the rate limit.
///
/// A fixed fraction of requests is sampled by a hash of the id, so that all boxes sample the same.
pub(super) fn is_sampled(request: &str) -> bool {
    const SAMPLING_DIVISOR: u64 = 16;
    name_hash(request).is_multiple_of(SAMPLING_DIVISOR)
}

/// Writes an event as one line.
///
/// Changes of the box's state and lines about sampled requests are always written. Lines about
/// other requests and about invalid values in the store are rate-limited, and suppressed lines are
/// counted.
pub(super) fn log_gateway(event: &GatewayEvent) {
    static LIMITER: Mutex<LineRateLimiter> = Mutex::new(LineRateLimiter::new());
    let is_frequent = event.is_frequent();
    let mut limiter = LIMITER.lock().unwrap_or_else(PoisonError::into_inner);
    if is_frequent && !limiter.admit(now_ms()) {
        GATEWAY_METRICS.suppressed_lines.inc();
        return;
    }
    if is_frequent {
        let count = limiter.take_suppressed();
        if count > 0 {
            log_line(&GatewayEvent::LinesHeldBack { count });
        }
    }
    log_line(event);
}

#[cfg(test)]
mod tests;
