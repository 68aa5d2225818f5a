//! Stand-ins for everything around dockgate, and the tool that loads a fleet and measures it.
//!
//! Stand-ins speak the published protocols on loopback: [`standin::PlatformStandIn`],
//! [`standin::EngineStandIn`] and [`standin::ServiceStandIn`]. [`fleet::BenchFleet`] starts daemons
//! as processes of their own behind [`relay::LinkRelay`]s that delay, count and can be cut.

pub mod caller;
pub mod demo;
pub mod error;
pub mod fault_injector;
pub mod fleet;
pub mod gap;
pub mod gateway_fleet;
pub mod gateway_soak;
pub mod mixed_fleet;
pub mod relay;
pub mod report;
pub mod run;
pub mod scenario;
pub mod slopes;
pub mod standin;
