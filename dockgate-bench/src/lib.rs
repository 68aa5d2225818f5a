//! Load generator, fault injector and stand-in servers for benchmarking a dockgate fleet.
//!
//! The stand-ins serve the public protocols on loopback: [`standin::PlatformStandIn`],
//! [`standin::EngineStandIn`] and [`standin::ServiceStandIn`]. [`fleet::BenchFleet`] starts each
//! daemon as a child process behind [`relay::LinkRelay`]s, which delay traffic, count bytes and
//! can be cut.

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
