//! What boxes that route requests say to each other, in datagrams.
//!
//! Each message stands by itself and may be lost, doubled or late: a seek without an answer is
//! decided by the entry alone, sums replace sums, and a run that is never heard of again lapses.

use dockgate_core::gateway::{
    AdmissionRequest, AdmissionVerdict, BoxBeat, EndpointId, EndpointNews, FleetDigest,
    PrefillSpeed, PromptPart, RouteConfig, StoreRevision, SuspectRow, UsageRow,
};
use dockgate_core::{BoxKey, Incarnation};
use serde::{Deserialize, Serialize};

/// One datagram.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GatewayDatagram {
    /// The box that sends it.
    pub from: BoxKey,
    /// Its life.
    pub incarnation: Incarnation,
    /// The message.
    pub message: GatewayMessage,
}

/// What datagrams of this form begin with: a box of another version cannot take them for its own,
/// since no number in a datagram begins so, and the last byte names the form.
const FORM: [u8; 6] = [0xff, 0xff, 0xff, 0xff, 0xff, 6];

impl GatewayDatagram {
    /// Returns the bytes of the datagram.
    ///
    /// # Errors
    ///
    /// Returns an error where the message cannot be written.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_extend(self, FORM.to_vec())
    }

    /// Reads a datagram.
    ///
    /// # Errors
    ///
    /// Returns an error where the bytes have another form, or are cut.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        let message = bytes.strip_prefix(&FORM);
        postcard::from_bytes(message.ok_or(postcard::Error::DeserializeBadEncoding)?)
    }
}

/// One message between boxes. A run is named by the entry's counter and its endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatewayMessage {
    /// To the coordinators of the sender's domain, or to whoever may know them: the sender lives.
    Beat {
        /// What it says of itself.
        beat: BoxBeat,
        /// What its workspaces asked for and were given within the window.
        shares: Vec<UsageRow>,
    },
    /// Answers a beat, and goes from coordinators to those of other domains: what the sender knows of
    /// the fleet.
    Digest {
        /// The boxes.
        digest: FleetDigest,
        /// What workspaces asked for and were given; of which boxes, the digest's scope says.
        shares: Vec<UsageRow>,
    },
    /// Entry to owner: may this prompt go to the endpoint?
    Seek {
        /// The entry's counter.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The prompt.
        ask: AdmissionRequest,
    },
    /// Owner to entry: the answer to a seek.
    Verdict {
        /// The entry's counter.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The answer.
        verdict: AdmissionVerdict,
        /// For how many milliseconds the engine reads what it has, this prompt included.
        backlog_ms: u32,
        /// How fast the engine reads.
        speed: PrefillSpeed,
    },
    /// Entry to owner: a prompt is at the endpoint that was not granted by this owner.
    Placed {
        /// The entry's counter.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
        /// The prompt.
        ask: AdmissionRequest,
        /// Whether its first event was seen.
        started: bool,
    },
    /// Entry to owner: these shared parts were read at the endpoint lately.
    Read {
        /// The endpoint.
        endpoint: EndpointId,
        /// The shared parts of a prompt.
        parts: Vec<PromptPart>,
    },
    /// Entry to owner: the first event of a run was seen.
    Started {
        /// The entry's counter.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Entry to owner: a run has ended, or was granted and not used.
    Ended {
        /// The entry's counter.
        run: u32,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// Entry to owner: an answer of the endpoint said that it leaves.
    Leaves {
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// To boxes that pass it on, and in answer to a beat: requests under which endpoints have ended.
    Suspects {
        /// What happened to them.
        rows: Vec<SuspectRow>,
    },
}

impl GatewayMessage {
    /// Returns the kind of the message, for counters.
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Beat { .. } => "beat",
            Self::Digest { .. } => "digest",
            Self::Seek { .. } => "seek",
            Self::Verdict { .. } => "verdict",
            Self::Placed { .. } => "placed",
            Self::Read { .. } => "read",
            Self::Started { .. } => "started",
            Self::Ended { .. } => "ended",
            Self::Leaves { .. } => "leaves",
            Self::Suspects { .. } => "suspects",
        }
    }
}

/// Asks a box what it knows: the configuration or the endpoints, never both.
///
/// A notice that an endpoint leaves is some bytes and is due within seconds; a configuration may be a
/// megabyte. In one answer the small one waits for the large one, and is lost with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateRequest {
    /// The version of the configuration that the asking box has.
    pub config_version: u64,
    /// The store's revision up to which it knows the endpoints.
    pub endpoint_revision: StoreRevision,
}

impl StateRequest {
    /// Newer than anything, so that it is not told.
    const NO_CONFIG: u64 = u64::MAX;
    const NO_ENDPOINTS: StoreRevision = StoreRevision::LATEST;

    /// Asks for a configuration that is newer than this version.
    pub const fn config(version: u64) -> Self {
        Self {
            config_version: version,
            endpoint_revision: Self::NO_ENDPOINTS,
        }
    }

    /// Asks what changed of the endpoints after this revision; for all of them with none.
    pub const fn endpoints(revision: StoreRevision) -> Self {
        Self {
            config_version: Self::NO_CONFIG,
            endpoint_revision: revision,
        }
    }
}

/// What a box knows beyond the one that asks; `C` is the form of the configuration.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StateAnswer<C = RouteConfig> {
    /// Its configuration, if that is newer.
    pub config: Option<C>,
    /// What changed of the endpoints, if it knows more of them.
    pub endpoints: Option<EndpointNews>,
}

#[cfg(test)]
mod tests;
