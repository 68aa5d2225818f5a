//! Finds the software version at which a stream began that its caller takes up at this box.

use super::super::events::{GatewayEvent, log_gateway};
use super::super::gateway_metrics::GATEWAY_METRICS;
use super::super::placement_goal::PlacementGoal;
use super::super::refusal::RefusalReason;
use super::super::stream_origins::{OriginAnswer, ask_origin, record_begun};
use super::super::stream_store::load_streams;
use super::super::version_store;
use super::{AdmittedCall, CallRefusal, RETRY_ELSEWHERE};
use crate::clock::{ClockInstant, now_ms};
use dockgate_core::gateway::{
    AnswerForm, ServiceVersion, SoftwareVersion, StreamKey, StreamRecord, VersionHistory, name_hash,
};
use dockgate_platform::PlatformError;
use dockgate_proto::StreamOrigin;
use std::sync::Arc;
use std::time::Duration;

/// For how long a stream can be taken up after its first event, in multiples of its route's
/// timeout: the caller's last attempt may begin when the first one has timed out.
const TAKE_UP_TIMEOUTS: u32 = 2;

/// How long a stream waits for the record of an endpoint of its version at a box that has not heard of
/// the version. Records reach all boxes within that time, unless the box is cut off.
const RECORD_TIMEOUT: Duration = Duration::from_millis(800);
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// How long a request that takes up a stream waits for the streams in the store.
const LISTING_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How the version of a stream was found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OriginSource {
    /// The service had no other version since the stream began.
    OnlyVersion,
    /// This box knows the stream.
    Own,
    /// Another box told it.
    Peer,
    /// The stream is recorded in the store.
    Stored,
}

impl OriginSource {
    const fn as_str(self) -> &'static str {
        match self {
            Self::OnlyVersion => "only_version",
            Self::Own => "own",
            Self::Peer => "peer",
            Self::Stored => "stored",
        }
    }
}

/// What the store says of the version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoredOrigin {
    /// The stream is recorded.
    Recorded(SoftwareVersion),
    /// The service had no other version since the stream began.
    OnlyAdmitted(SoftwareVersion),
    /// The service had several versions, and the stream is not recorded.
    Several,
    /// The ledger does not reach back to the begin of the stream.
    Incomplete,
    /// The store did not answer.
    Unread,
}

impl StoredOrigin {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Recorded(_) => "recorded",
            Self::OnlyAdmitted(_) => "only_admitted",
            Self::Several => "several",
            Self::Incomplete => "incomplete",
            Self::Unread => "unread",
        }
    }
}

/// What was found out about the version at which a stream began.
#[derive(Debug, Clone, Copy)]
struct FoundOrigin {
    version: Option<(SoftwareVersion, OriginSource)>,
    /// What the other boxes answered, if they were asked.
    answer: Option<OriginAnswer>,
    /// What the store says, if it was read.
    stored: Option<StoredOrigin>,
}

impl FoundOrigin {
    /// Without a question to another box.
    const fn at_once(version: SoftwareVersion, source: OriginSource) -> Self {
        Self {
            version: Some((version, source)),
            answer: None,
            stored: None,
        }
    }

    /// Combines what the other boxes know with what the store says.
    ///
    /// That a service had one version is believed without the store only if the other boxes confirm
    /// it: silence proves nothing.
    fn of(answer: OriginAnswer, stored: Option<StoredOrigin>) -> Self {
        let version = match (answer.origin, stored) {
            (StreamOrigin::Known(version), _) => Some((version, OriginSource::Peer)),
            (_, Some(StoredOrigin::Recorded(version))) => Some((version, OriginSource::Stored)),
            (_, Some(StoredOrigin::OnlyAdmitted(version))) => {
                Some((version, OriginSource::OnlyVersion))
            }
            (
                StreamOrigin::OnlyVersion(version),
                Some(StoredOrigin::Incomplete | StoredOrigin::Unread),
            ) if answer.is_confirmed => Some((version, OriginSource::OnlyVersion)),
            _ => None,
        };
        Self {
            version,
            answer: Some(answer),
            stored,
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
        match (self.route().form, self.head.last_event) {
            (AnswerForm::Stream { .. }, Some(_)) => self.take_up_goal().await,
            (AnswerForm::Stream { resumable: true }, None) => {
                self.wait_for_ledger().await;
                Ok(PlacementGoal::BeginResumable)
            }
            (AnswerForm::Stream { resumable: false }, None) | (AnswerForm::Whole, _) => {
                Ok(PlacementGoal::Begin)
            }
        }
    }

    /// Reads the ledger if this box has not read it since it started and the service has several
    /// versions, as one of them may not be admitted yet.
    async fn wait_for_ledger(&self) {
        let is_needed = self.state.with(|view| {
            let mut ready = view.endpoints.ready(&self.service().name).iter();
            let first = ready.next().map(|ready| ready.version);
            view.ledger.is_awaited(now_ms()) && ready.any(|ready| Some(ready.version) != first)
        });
        if is_needed && version_store::refresh(&self.state).await.is_err() {
            log::info!("begin a stream without the ledger of versions: the store did not answer");
        }
    }

    /// Returns which endpoints may continue the stream that this request takes up.
    async fn take_up_goal(&self) -> Result<PlacementGoal, CallRefusal> {
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
                let refusal = self.refuse_unknown_version(found.stored);
                let reason = refusal.reason;
                (Err(refusal), reason.as_str())
            }
        };
        GATEWAY_METRICS.record_take_up(outcome);
        log_gateway(&GatewayEvent::TakenUp {
            request: &self.head.id,
            resumes: self.head.resumes.as_deref(),
            origin: outcome,
            asked: found.answer.map_or(0, |answer| answer.asked),
            answered: found.answer.map_or(0, |answer| answer.answered),
            stored: found.stored.map(StoredOrigin::as_str),
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
            let known = stream.and_then(|key| view.streams.look_up(key, within_ms, now));
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
        let stored = match answer.origin {
            StreamOrigin::Known(_) => None,
            _ => Some(self.read_origin(stream, service).await),
        };
        FoundOrigin::of(answer, stored)
    }

    /// Reads in the store at which version a stream began.
    async fn read_origin(&self, stream: Option<StreamKey>, service: u64) -> StoredOrigin {
        if version_store::refresh(&self.state).await.is_err() {
            return StoredOrigin::Unread;
        }
        let (unrecorded, is_sole) = self.state.with(|view| {
            let keeper = &view.ledger;
            // A stream whose caller has tried often may be older than its route allows for one try.
            let only = keeper.only_version(service, VersionHistory::RETENTION_MS);
            let ledger = keeper.ledger();
            let admitted = ledger.and_then(|ledger| ledger.only_admitted(service));
            let unrecorded = match (only, admitted) {
                (Some(version), _) => StoredOrigin::OnlyAdmitted(version),
                (None, Some(_)) => StoredOrigin::Incomplete,
                (None, None) => StoredOrigin::Several,
            };
            let is_sole = ledger.is_some_and(|ledger| ledger.listed(service).count() == 1);
            (unrecorded, is_sole)
        });
        match (stream, unrecorded) {
            (None, _) => unrecorded,
            (Some(_), StoredOrigin::OnlyAdmitted(_)) if is_sole => unrecorded,
            (Some(stream), _) => match self.read_record(stream).await {
                Ok(Some(version)) => StoredOrigin::Recorded(version),
                Ok(None) => unrecorded,
                Err(_) => StoredOrigin::Unread,
            },
        }
    }

    /// Returns the version of a stream that is recorded in the store.
    async fn read_record(
        &self,
        stream: StreamKey,
    ) -> Result<Option<SoftwareVersion>, Arc<PlatformError>> {
        let until = self.deadline().min(ClockInstant::now() + LISTING_TIMEOUT);
        let loaded = load_streams(&self.state, until).await?;
        let record = loaded.record(stream);
        if let Some(record) = record {
            let now = now_ms();
            self.state.with(|view| view.streams.receive(record, now));
        }
        Ok(record.map(|record| record.version))
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

    /// Refuses a stream whose version is unknown. Another box may know it if this one is cut off, or
    /// does not reach the store; otherwise no later attempt succeeds.
    fn refuse_unknown_version(&self, stored: Option<StoredOrigin>) -> CallRefusal {
        let is_in_contact = self.state.with(|view| view.fleet.is_in_contact(now_ms()));
        match is_in_contact && stored != Some(StoredOrigin::Unread) {
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
