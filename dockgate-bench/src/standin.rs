//! Stand-ins for model engines, plain services, routed endpoints, boxes and the platform.

pub mod caller;
mod engine;
mod http;
mod peer;
mod platform;
mod raw_endpoints;
mod resumed_stream;
mod routed;
mod service;
mod tally;

pub use engine::{ENDLESS_NONCE, EngineProfile, EngineStandIn, answer_token};
pub use peer::PeerStandIn;
pub use platform::{BoxEntry, PlatformCalls, PlatformStandIn, StoreListener, StoreSnapshot};
pub use raw_endpoints::{ConnectionEnd, RawAnswer, RawEndpoints, RawRequest};
pub use resumed_stream::{ResumedStream, StreamShape};
pub use routed::{
    EndpointBehavior, PartCrash, ReceivedRequest, RejectedRequest, RoutedStandIn, STARTED_HEADER,
};
pub use service::{ServiceProfile, ServiceStandIn};
pub use tally::{LateRunCounter, RunTally, TallySample};
