//! Messages between dockgate's processes, and the formats that callers see.
//!
//! Peers exchange batches of [`PeerMessage`] by JSON-RPC. Operators call the methods in
//! [`operator`]. Callers get a [`RefusalBody`] as the body of every refusal.
//!
//! ```
//! use dockgate_core::{GrantId, PoolKey, EndpointKey, WorkspaceKey};
//! use dockgate_proto::PeerMessage;
//!
//! let grant = PeerMessage::Grant(GrantId(7), PoolKey(1), WorkspaceKey(2), EndpointKey(3));
//! assert_eq!(serde_json::to_string(&grant)?, r#"{"g":[7,1,2,3]}"#);
//! # Ok::<(), serde_json::Error>(())
//! ```

mod gateway;
pub mod headers;
pub mod operator;
mod peer;
mod quarantine;
mod refusal;

pub use gateway::{GatewayDatagram, GatewayMessage, StateAnswer, StateRequest, StreamOrigin};
pub use peer::{ConfigAnswer, ExchangeRequest, HelloReply, HelloRequest, PeerMessage, methods};
pub use quarantine::{QuarantineAnswer, QuarantineRequest, QuarantineRow};
pub use refusal::{RefusalBody, RefusalCode, RequestStep};
