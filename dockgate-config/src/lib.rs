//! The product's own configuration log, for fleets that are run by declarations.
//!
//! [`ConfigStore`] decides what a commit is and what is in force; the platform's client only carries
//! the keys. A gateway does not use it: its routes are the platform's.
//!
//! ```
//! use dockgate_config::ConfigHead;
//!
//! let head = ConfigHead::default();
//! assert_eq!(head.entries_since(0), Some(Vec::new()));
//! ```

mod config_store;

pub use config_store::{CommitOutcome, ConfigHead, ConfigStore};
