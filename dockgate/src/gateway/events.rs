//! What a gateway logs: one typed line for each decision, with what decided it.

use super::gateway_metrics::GATEWAY_METRICS;
use super::settings::GatewaySettings;
use super::workspace_report::WorkspaceReport;
use crate::clock::now_ms;
use crate::logging::{LineRateLimiter, log_line};
use dockgate_core::gateway::{EndpointChange, EndpointRecord, EndpointState, name_hash};
use serde::Serialize;
use std::sync::{Mutex, PoisonError};

/// An engine that was asked to take a prompt and declined.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(super) struct DeclinedEngine {
    /// Its lifetime id.
    pub(super) endpoint: String,
    /// After how many milliseconds the first event would have come.
    pub(super) first_event_ms: u32,
    /// The box that decided, or that the entry did alone.
    pub(super) decided_by: String,
}

/// Something that happened in a gateway.
#[derive(Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum GatewayEvent<'a> {
    /// The process has begun, with these settings.
    Started { settings: &'a GatewaySettings },
    /// The box was suspended for so long: its steady clock does not count that time.
    Woke { away_ms: u64 },
    /// A task that runs for as long as the process panicked; it is begun anew.
    TaskPanicked {
        task: &'a str,
        problem: &'a str,
        again_ms: u64,
    },
    /// It was told to stop, with so many connections open.
    Stopping { open: usize },
    /// It ends; `cut` requests were still being answered.
    Stopped { in_time: bool, cut: usize },
    /// It read its settings again, on a signal or as the file had changed.
    Reloaded {
        signal: bool,
        changed: bool,
        problem: Option<&'a str>,
    },
    /// A configuration came into force.
    RoutesInForce {
        old: u64,
        version: u64,
        source: &'a str,
        routes: usize,
        workspaces: usize,
    },
    /// A stored value cannot be read; what was in force stays.
    Unreadable { what: &'a str, problem: String },
    /// An endpoint takes work.
    EndpointReady {
        endpoint: &'a str,
        /// When this lifetime of it started, in Unix milliseconds by its own clock, where it says so.
        born_ms: Option<u64>,
        service: &'a str,
        domain: &'a str,
        revision: u64,
        source: &'a str,
    },
    /// An endpoint takes no new work.
    EndpointDraining {
        endpoint: &'a str,
        revision: u64,
        source: &'a str,
    },
    /// The record of an endpoint names none to use any more; it takes no new work until it has written its own
    /// again.
    EndpointUnusable {
        endpoint: &'a str,
        revision: u64,
        source: &'a str,
    },
    /// An answer says that its endpoint leaves, for the first time at this box.
    EndpointLeaves { endpoint: &'a str, request: &'a str },
    /// An answer turns a request away, and asks this box to send nothing for so long.
    EndpointRests {
        endpoint: &'a str,
        request: &'a str,
        for_ms: u64,
    },
    /// An endpoint is gone.
    EndpointGone { endpoint: &'a str, source: &'a str },
    /// The endpoints were listed whole, and something differed from what was believed.
    EndpointsListed {
        count: usize,
        revision: u64,
        source: &'a str,
    },
    /// Another box was asked for what it knows beyond this one, and did not answer.
    StateUnanswered {
        peer: &'a str,
        what: &'a str,
        took_ms: u64,
        problem: String,
    },
    /// A call to the store failed, after it had answered.
    StoreLost { step: &'a str, problem: String },
    /// The store answers again.
    StoreBack { step: &'a str, away_ms: u64 },
    /// The store has come back from an older copy: all that it has is listed anew. Up to `revision` of the era before
    /// the endpoints were known here.
    StoreEra {
        from: u64,
        to: u64,
        revision: u64,
        source: &'a str,
    },
    /// The store has forgotten changes; what is there is listed anew.
    StoreHistoryLost { what: &'a str, since: u64 },
    /// Work has waited too long for the processor; callers are asked to go elsewhere.
    Overloaded { lag_ms: u64 },
    /// It does not any more.
    CaughtUp { lag_ms: u64, for_ms: u64 },
    /// A box is heard that was not before.
    BoxSeen { peer: &'a str, domain: &'a str },
    /// A box has fallen silent.
    BoxGone { peer: &'a str },
    /// No endpoint of a failure domain can be reached; it gets nothing until one answers.
    DomainCut { domain: &'a str },
    /// A failure domain is reached again.
    DomainBack { domain: &'a str, for_ms: u64 },
    /// What workspaces asked for and were given here since the last such line, where something was refused.
    Shares {
        /// How long ago a coordinator told the sums that decide; none where this box adds them up.
        told_ms: Option<u64>,
        workspaces: &'a [WorkspaceReport],
    },
    /// So many lines about requests were not written, as there were too many in a second.
    LinesHeldBack { count: u64 },
    /// A request was sent to an endpoint.
    Sent {
        request: &'a str,
        route: &'a str,
        workspace: &'a str,
        /// Tokens of the prompt, for prompts.
        tokens: Option<u32>,
        endpoint: &'a str,
        attempt: u32,
        /// When the first event is expected, for engines.
        expected_ms: Option<u32>,
        /// Who decided: the owner's name, or this box alone.
        decided_by: &'a str,
        config: u64,
        config_age_ms: u64,
        revision: u64,
        endpoints_age_ms: u64,
    },
    /// An endpoint has ended while requests ran there: nobody listens at its address any more.
    EndpointEnded {
        endpoint: &'a str,
        /// The prints of the requests whose answers it broke off here.
        under: &'a [String],
    },
    /// A request goes to no endpoint any more: these lifetimes have ended under it, as far as this box knows;
    /// others are told by `source`.
    RequestQuarantined {
        print: &'a str,
        endpoints: &'a [String],
        source: &'a str,
    },
    /// A request in quarantine is let through once.
    RequestTried { print: &'a str, trials: u8 },
    /// A request is out of quarantine: it completed, or an operator released it.
    RequestReleased { print: &'a str, source: &'a str },
    /// A send to an endpoint gave no answer that can be passed on.
    SendFailed {
        request: &'a str,
        /// What the request has in common with all its sends, where the answer broke off.
        print: Option<String>,
        endpoint: &'a str,
        attempt: u32,
        ran: &'a str,
        problem: &'a str,
        /// When the first event was expected, for engines.
        expected_ms: Option<u32>,
        took_ms: u64,
    },
    /// A stream goes on at another endpoint.
    Resumed {
        request: &'a str,
        endpoint: &'a str,
        after_event: u64,
        problem: &'a str,
    },
    /// A request was refused or given up.
    Refused {
        request: &'a str,
        route: &'a str,
        workspace: &'a str,
        /// Tokens of the prompt, for prompts.
        tokens: Option<u32>,
        status: u16,
        reason: &'a str,
        ran: &'a str,
        waited_ms: u64,
        retry_after_ms: Option<u64>,
        /// For prompts: the engines that were asked, and what each predicted.
        asked: &'a [DeclinedEngine],
        /// For prompts: how many times its share the workspace has had.
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
    /// The caller left before its answer was whole; what the request caused has ended.
    CallerLeft {
        request: &'a str,
        route: &'a str,
        workspace: &'a str,
        /// How far it had come: `placing`, `sent` or `answering`.
        stage: &'a str,
        /// How many times it was sent to an endpoint.
        sends: u32,
        /// How long after its arrival the box noticed.
        waited_ms: u64,
        /// For how long work waits for the processor here.
        lag_ms: u64,
    },
    /// An answer was broken off.
    BrokenOff {
        request: &'a str,
        /// What the request has in common with all its sends.
        print: String,
        endpoint: &'a str,
        events: u64,
        took_ms: u64,
        reason: &'a str,
    },
}

impl<'a> GatewayEvent<'a> {
    /// Makes the event for a change of an endpoint.
    pub(super) fn endpoint(change: &'a EndpointChange, source: &'a str) -> Self {
        match change {
            EndpointChange::Put(record, revision)
            | EndpointChange::Deferred(record, revision, _) => {
                Self::written(record, revision.number, source)
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

    fn written(record: &'a EndpointRecord, revision: u64, source: &'a str) -> Self {
        let endpoint = &record.id;
        match record.state {
            EndpointState::Ready => Self::EndpointReady {
                endpoint,
                born_ms: record.started_ms,
                service: &record.service,
                domain: &record.domain,
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

    /// Tells whether there may be any number of such events in a second.
    fn is_frequent(&self) -> bool {
        match self.request() {
            Some(request) => !is_sampled(request),
            // Whoever writes there may do so as often as it likes.
            None => matches!(self, Self::Unreadable { .. }),
        }
    }

    /// Returns the id of the request that the event is about.
    const fn request(&self) -> Option<&'a str> {
        match self {
            Self::Sent { request, .. }
            | Self::SendFailed { request, .. }
            | Self::Resumed { request, .. }
            | Self::Refused { request, .. }
            | Self::Answered { request, .. }
            | Self::CallerLeft { request, .. }
            | Self::BrokenOff { request, .. } => Some(request),
            _ => None,
        }
    }
}

/// Tells whether all lines of a request are kept, however it goes and however many there are: one in
/// so many, by its id, so that all boxes keep the same.
pub(super) fn is_sampled(request: &str) -> bool {
    const ONE_IN: u64 = 16;
    name_hash(request).is_multiple_of(ONE_IN)
}

/// Writes an event as one line.
///
/// What a box believes is always written, and so is all about a sampled request; lines about others, and about
/// values of the store that cannot be read, are written up to a rate, and beyond it counted.
pub(super) fn log_gateway(event: &GatewayEvent) {
    static BUDGET: Mutex<LineRateLimiter> = Mutex::new(LineRateLimiter::new());
    let limited = event.is_frequent();
    let mut budget = BUDGET.lock().unwrap_or_else(PoisonError::into_inner);
    if limited && !budget.take(now_ms()) {
        GATEWAY_METRICS.lines_held_back.inc();
        return;
    }
    if limited {
        let count = budget.take_held_back();
        if count > 0 {
            log_line(&GatewayEvent::LinesHeldBack { count });
        }
    }
    log_line(event);
}

#[cfg(test)]
mod tests;
