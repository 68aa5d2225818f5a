//! The configuration log, for fleets that are configured by declarations.
//!
//! [`ConfigStore`] defines commits and the current version on top of the platform's key-value
//! store. Gateways do not use it: they read their routes from the platform.
//!
//! ```
//! use dockgate_config::ConfigHead;
//!
//! let head = ConfigHead::default();
//! assert_eq!(head.entries_since(0), Some(Vec::new()));
//! ```

mod config_store;

pub use config_store::{CommitOutcome, ConfigHead, ConfigStore, HEAD_KEY};
