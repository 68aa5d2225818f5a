//! Stand-ins for model engines, plain services and the platform's key-value service.

pub mod caller;
mod engine;
mod http;
mod peer;
mod platform;
mod routed;
mod service;
mod tally;

pub use engine::{EngineRule, EngineStandIn, answer_token};
pub use peer::PeerStandIn;
pub use platform::{BoxEntry, PlatformCalls, PlatformStandIn, StoreCopy, StoreDoor};
pub use routed::{BORN, EndpointManner, RoutedStandIn, SeenRequest, TurnedAway};
pub use service::{ServiceRule, ServiceStandIn};
pub use tally::{LeaveWatch, RunTally, TallySample};
