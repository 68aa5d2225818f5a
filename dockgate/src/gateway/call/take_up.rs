//! Finds the software version at which a stream began that its caller takes up at this box.

use super::super::events::{GatewayEvent, log_gateway};
use super::super::gateway_metrics::GATEWAY_METRICS;
use super::super::placement_goal::PlacementGoal;
use super::super::refusal::RefusalReason;
use super::super::stream_origins::{ask_origin, record_begun};
use super::{AdmittedCall, CallRefusal, RETRY_ELSEWHERE};
use crate::clock::{ClockInstant, now_ms};
use dockgate_core::gateway::{
    AnswerForm, ServiceVersion, SoftwareVersion, StreamKey, StreamRecord, VersionHistory, name_hash,
};
use std::time::Duration;

/// For how long a stream can be taken up after its first event, in multiples of its route's
/// timeout: the caller's last attempt may begin when the first one has timed out.
const TAKE_UP_TIMEOUTS: u32 = 2;

/// How long a stream waits for the record of an endpoint of its version at a box that has not heard of
/// the version. Records reach all boxes within that time, unless the box is cut off.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How the version of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OriginSource {
    /// The service had no other version since the stream began, as far as any box knows.
    OnlyVersion,
    /// This box knows the stream.
    Own,
    /// Another box told it.
    Peer,
}

impl OriginSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::OnlyVersion => "only_version",
            Self::Own => "own",
            Self::Peer => "peer",
        }
    }
}

/// What was found out about the version at which a stream began.
#[derive(Debug, Clone, Copy)]
struct FoundOrigin {
    version: Option<(SoftwareVersion, OriginSource)>,
    /// The number of boxes that were asked.
    asked: usize,
    /// The number of those that answered.
    answered: usize,
}

impl FoundOrigin {
    /// Without a question to another box.
    const fn at_once(version: SoftwareVersion, source: OriginSource) -> Self {
        Self {
            version: Some((version, source)),
            asked: 0,
            answered: 0,
        }
    }
}

impl AdmittedCall {
    /// Returns what an endpoint is sought for: a request that takes up a stream is restricted to the
    /// version that began it.
    ///
    /// # Errors
    ///
    /// Returns the refusal if that version is not known, or is not served any more.
    pub(super) async fn placement_goal(&self) -> Result<PlacementGoal, CallRefusal> {
        let is_stream = matches!(self.route().form, AnswerForm::Stream { .. });
        if !is_stream || self.head.last_event.is_none() {
            return Ok(PlacementGoal::Begin);
        }
        let found = self.find_origin().await;
        let (result, outcome) = match found.version {
            Some((version, source)) if self.wait_until_served(version).await => {
                (Ok(PlacementGoal::TakeUp(version)), source.as_str())
            }
            Some((version, _)) if !self.is_unheard(version) => {
                let reason = RefusalReason::VersionGone;
                (Err(reason.into()), reason.as_str())
            }
            // The version is not known, or no endpoint of it is known here yet.
            Some(_) | None => {
                let refusal = self.refuse_unknown_version();
                let reason = refusal.reason;
                (Err(refusal), reason.as_str())
            }
        };
        GATEWAY_METRICS.record_take_up(outcome);
        log_gateway(&GatewayEvent::TakenUp {
            request: &self.head.id,
            resumes: self.head.resumes.as_deref(),
            origin: outcome,
            asked: found.asked,
            answered: found.answered,
            versions: self.known_versions(),
            took_ms: self.age().as_millis() as u64,
        });
        result
    }

    /// Returns how many versions of the service this box has known within the last minutes.
    fn known_versions(&self) -> usize {
        let (service, now) = (name_hash(&self.service().name), now_ms());
        self.state.with(|view| {
            let versions = &view.versions;
            let known = versions.versions(service, VersionHistory::RETENTION_MS, now);
            known.count()
        })
    }

    async fn find_origin(&self) -> FoundOrigin {
        let service = name_hash(&self.service().name);
        let within_ms = self.take_up_time().as_millis() as u32;
        let stream = self.head.resumes.as_deref().map(|id| self.stream_key(id));
        let now = now_ms();
        let (known, only) = self.state.with(|view| {
            let known = stream.and_then(|key| view.streams.version(key, now));
            (known, view.only_version(stream, service, within_ms, now))
        });
        match (known, only) {
            (Some(version), _) => return FoundOrigin::at_once(version, OriginSource::Own),
            (None, Some(version)) if stream.is_none() => {
                return FoundOrigin::at_once(version, OriginSource::OnlyVersion);
            }
            _ => {}
        }
        let answer = ask_origin(&self.state, stream, service, within_ms).await;
        let source = match answer.version() == only {
            true => OriginSource::OnlyVersion,
            false => OriginSource::Peer,
        };
        FoundOrigin {
            version: answer.version().map(|version| (version, source)),
            asked: answer.asked,
            answered: answer.answered,
        }
    }

    /// Returns for how long after its first event a stream of this route can be taken up.
    fn take_up_time(&self) -> Duration {
        self.route().timeout * TAKE_UP_TIMEOUTS
    }

    fn stream_key(&self, request: &str) -> StreamKey {
        StreamKey::new(self.workspace_name(), &self.service().name, request)
    }

    /// Returns whether an endpoint of the version accepts requests. If this box has not heard of the
    /// version, it waits until the record of an endpoint arrives.
    async fn wait_until_served(&self, version: SoftwareVersion) -> bool {
        let until = self.deadline().min(ClockInstant::now() + RECORD_TIMEOUT);
        loop {
            let is_served = self.is_served(version);
            if is_served || !self.is_unheard(version) || until.remaining().is_zero() {
                return is_served;
            }
            tokio::time::sleep(RECORD_POLL_INTERVAL).await;
        }
    }

    /// Returns whether this box has known no endpoint of the version within the last minutes.
    fn is_unheard(&self, version: SoftwareVersion) -> bool {
        let service = name_hash(&self.service().name);
        let known = ServiceVersion { service, version };
        self.state
            .with(|view| !view.versions.recent().contains(&known))
    }

    /// Returns whether an endpoint of the version accepts requests.
    fn is_served(&self, version: SoftwareVersion) -> bool {
        let service = &self.service().name;
        self.state.with(|view| {
            let mut ready = view.endpoints.ready(service).iter();
            ready.any(|ready| ready.version == version)
        })
    }

    /// Refuses a stream whose version is unknown. Another box may know it if this one is cut off;
    /// otherwise no later attempt succeeds.
    fn refuse_unknown_version(&self) -> CallRefusal {
        let is_in_contact = self.state.with(|view| view.fleet.is_in_contact(now_ms()));
        match is_in_contact {
            true => RefusalReason::VersionUnknown.into(),
            false => CallRefusal::with_retry(RefusalReason::VersionUnknown, RETRY_ELSEWHERE),
        }
    }

    /// Records the version at which the stream of this request began, before its first event is
    /// forwarded. A stream that is taken up can be named by either request.
    pub(in super::super) fn record_stream(&self, version: SoftwareVersion) {
        if !version.is_known() {
            return;
        }
        let service = name_hash(&self.service().name);
        let workspace = name_hash(self.workspace_name());
        let resumes = self.head.resumes.as_deref();
        let resumes = resumes.filter(|_| self.head.last_event.is_some());
        for id in [Some(self.head.id.as_str()), resumes].into_iter().flatten() {
            let record = StreamRecord {
                key: self.stream_key(id),
                workspace,
                version,
                life_ms: self.take_up_time().as_millis() as u32,
            };
            record_begun(&self.state, record, service);
        }
    }
}
