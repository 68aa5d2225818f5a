//! Datagrams between boxes that route requests.
//!
//! Each message is self-contained and may be lost, duplicated or late: without an answer to a slot
//! request, the entry box decides alone; newer sums replace older ones; and runs expire when
//! nothing more is reported about them.

use dockgate_core::gateway::{
    AdmissionRequest, AdmissionVerdict, BoxHeartbeat, EndpointId, EndpointUpdate, EngineRate,
    EvacuationOrder, FleetDigest, PrefillSpeed, PromptPart, RouteConfig, SoftwareVersion,
    StoreRevision, StreamKey, StreamRecord, SuspectKind, SuspectReport, UsageRow, WaitTerms,
};
use dockgate_core::{BoxKey, Incarnation};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// A datagram.
///
/// The evacuation orders follow the message, and the rates of engines follow the orders. Empty
/// lists at the end are left out; boxes that do not know of a list ignore its bytes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GatewayDatagram {
    /// The box that sends it.
    pub from: BoxKey,
    /// The incarnation of that box.
    pub incarnation: Incarnation,
    /// The message.
    pub message: GatewayMessage,
    /// The evacuation orders that the sender knows, in heartbeats and digests.
    pub evacuations: Vec<EvacuationOrder>,
    /// The rates of engines that the sender reports, in heartbeats and digests.
    pub rates: Vec<EngineRate>,
}

/// The first bytes of each datagram; the last one is the version of the format. A box with another
/// format rejects the datagram, since no encoded number begins with these bytes.
const FORMAT_PREFIX: [u8; 6] = [0xff, 0xff, 0xff, 0xff, 0xff, 6];

impl GatewayDatagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        let message = (&self.from, &self.incarnation, &self.message);
        let bytes = postcard::to_extend(&message, FORMAT_PREFIX.to_vec())?;
        match (self.evacuations.is_empty(), self.rates.is_empty()) {
            (true, true) => Ok(bytes),
            (false, true) => postcard::to_extend(&self.evacuations, bytes),
            (_, false) => postcard::to_extend(&(&self.evacuations, &self.rates), bytes),
        }
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes have another format or are truncated.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let message = bytes.strip_prefix(&FORMAT_PREFIX);
        let message = message.ok_or(postcard::Error::DeserializeBadEncoding)?;
        let ((from, incarnation, message), rest) = postcard::take_from_bytes(message)?;
        let (evacuations, rest) = take_list(rest)?;
        let (rates, _) = take_list(rest)?;
        Ok(Self {
            from,
            incarnation,
            message,
            evacuations,
            rates,
        })
    }
}

/// Decodes a list at the start of the bytes and returns it with the rest; no bytes are an empty
/// list.
fn take_list<T: DeserializeOwned>(bytes: &[u8]) -> Result<(Vec<T>, &[u8]), postcard::Error> {
    match bytes.is_empty() {
        true => Ok((Vec::new(), bytes)),
        false => postcard::take_from_bytes(bytes),
    }
}

/// A message between boxes. A run is identified by its number at the entry box and its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// To coordinators of the sender's domain, or to seeds: the sender is alive.
    Heartbeat {
        /// The sender's heartbeat.
        heartbeat: BoxHeartbeat,
        /// The service units that its workspaces demanded and received within the window.
        shares: Vec<UsageRow>,
    },
    /// Answer to a heartbeat, also exchanged between coordinators of different domains: the fleet
    /// as the sender knows it.
    Digest {
        /// The digest.
        digest: FleetDigest,
        /// The service units that workspaces demanded and received; the digest's scope defines at
        /// which boxes.
        shares: Vec<UsageRow>,
    },
    /// Entry to owner: requests a slot at the endpoint for a prompt.
    SlotRequest {
        /// The number of the run at the entry.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The prompt.
        request: AdmissionRequest,
    },
    /// Owner to entry: the answer to a slot request.
    Verdict {
        /// The number of the run at the entry.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The answer.
        verdict: AdmissionVerdict,
        /// The time that the engine needs to read its queued prompts, this one included, in
        /// milliseconds.
        backlog_ms: u32,
        /// The speed at which the engine reads prompts.
        speed: PrefillSpeed,
    },
    /// Entry to owner: a prompt was sent to the endpoint without a grant of this owner.
    Placed {
        /// The number of the run at the entry.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The prompt.
        request: AdmissionRequest,
        /// Whether its first event has arrived.
        started: bool,
    },
    /// Entry to owner: the endpoint has recently read these shared parts of prompts.
    PartsRead {
        /// The endpoint.
        endpoint: EndpointId,
        /// The shared parts.
        parts: Vec<PromptPart>,
    },
    /// Entry to owner: the first event of a run has arrived.
    Started {
        /// The number of the run at the entry.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Entry to owner: a run has ended, or its grant was not used.
    Ended {
        /// The number of the run at the entry.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Entry to owner: the endpoint announced in an answer that it is leaving.
    EndpointLeaving {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// To boxes that relay it, and in answer to a heartbeat: requests during which endpoints ended.
    Suspects {
        /// The events of these requests.
        rows: Vec<SuspectReport>,
    },
    /// Entry to owner: requests a slot at the endpoint, for which the request may wait. The answer
    /// is a verdict, at once or when the wait ends; `Ended` withdraws the request.
    WaitRequest {
        /// The number of the run at the entry.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The prompt.
        request: AdmissionRequest,
        /// The priority and the longest wait.
        terms: WaitTerms,
    },
    /// To a few coordinators: the versions at which streams of the sender's callers began.
    StreamsBegan {
        /// The streams.
        streams: Vec<StreamRecord>,
    },
    /// Asks for the version at which a stream began.
    StreamQuery {
        /// The number of the query at the asking box.
        query: u32,
        /// The stream, if its caller named it.
        stream: Option<StreamKey>,
        /// The hash of the service's name.
        service: u64,
        /// How long ago the stream may have begun, in milliseconds.
        within_ms: u32,
    },
    /// Answer to a query about a stream.
    StreamOrigin {
        /// The number of the query.
        query: u32,
        /// What the answering box knows.
        origin: StreamOrigin,
    },
    /// As `Suspects`, of parts of prompts; older boxes judge these as requests, and do not know
    /// this message.
    PartSuspects {
        /// The events of these parts.
        rows: Vec<SuspectReport>,
    },
    /// As `StreamsBegan`, to the box that also writes them to the platform's store; older boxes do
    /// not know this message.
    StoreStreams {
        /// The streams.
        streams: Vec<StreamRecord>,
    },
}

/// What a box knows of the version at which a stream began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StreamOrigin {
    /// It began at this version.
    Known(SoftwareVersion),
    /// The stream is not known, but the service had no other version since it began.
    OnlyVersion(SoftwareVersion),
    /// Nothing is known of it.
    Unknown,
    /// The stream is not known, and the service had several versions within that time.
    SeveralVersions,
}

impl GatewayMessage {
    /// Returns the kind of the message, used in metrics.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat { .. } => "beat",
            Self::Digest { .. } => "digest",
            Self::SlotRequest { .. } => "seek",
            Self::Verdict { .. } => "verdict",
            Self::Placed { .. } => "placed",
            Self::PartsRead { .. } => "read",
            Self::Started { .. } => "started",
            Self::Ended { .. } => "ended",
            Self::EndpointLeaving { .. } => "leaves",
            Self::Suspects { .. } => "suspects",
            Self::WaitRequest { .. } => "wait",
            Self::StreamsBegan { .. } => "streams",
            Self::StreamQuery { .. } => "stream_query",
            Self::StreamOrigin { .. } => "stream_origin",
            Self::PartSuspects { .. } => "part_suspects",
            Self::StoreStreams { .. } => "store_streams",
        }
    }

    /// Returns the messages for reports. Parts come first, as they explain ends that would count
    /// against requests.
    pub fn of_reports(rows: Vec<SuspectReport>) -> Vec<Self> {
        let is_part = |row: &SuspectReport| row.fingerprint.kind() == SuspectKind::Part;
        let (parts, requests): (Vec<_>, Vec<_>) = rows.into_iter().partition(is_part);
        let parts = (!parts.is_empty()).then_some(Self::PartSuspects { rows: parts });
        let requests = (!requests.is_empty()).then_some(Self::Suspects { rows: requests });
        parts.into_iter().chain(requests).collect()
    }
}

/// A request for the state of a box: either its configuration or its endpoints.
///
/// The two are never combined: an update on a leaving endpoint is small and urgent, and must not
/// wait for a large configuration or be lost with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRequest {
    /// The version of the configuration at the requesting box.
    pub config_version: u64,
    /// The store revision up to which that box knows the endpoints.
    pub endpoint_revision: StoreRevision,
}

impl StateRequest {
    /// Newer than any existing state, so that this kind of state is not returned.
    const NO_CONFIG: u64 = u64::MAX;
    const NO_ENDPOINTS: StoreRevision = StoreRevision::LATEST;

    /// Requests a configuration newer than this version.
    pub const fn config(version: u64) -> Self {
        Self {
            config_version: version,
            endpoint_revision: Self::NO_ENDPOINTS,
        }
    }

    /// Requests the changes of endpoints since a revision; all endpoints if the revision is `NONE`.
    pub const fn endpoints(revision: StoreRevision) -> Self {
        Self {
            config_version: Self::NO_CONFIG,
            endpoint_revision: revision,
        }
    }
}

/// The state that the requesting box lacks; `C` is the representation of the configuration and `E`
/// that of the endpoints.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StateAnswer<C = RouteConfig, E = EndpointUpdate> {
    /// The configuration, if it is newer.
    pub config: Option<C>,
    /// The changes of the endpoints, if there are any.
    pub endpoints: Option<E>,
}

#[cfg(test)]
mod tests;
