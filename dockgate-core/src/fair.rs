//! Fair shares over the fleet: the service given to each workspace, and the order of grants.
//!
//! Service is counted per pool and workspace. Every scheduler counts its own charges and receives
//! the sums of the others as [`LedgerReport`]s. These are cumulative for one incarnation, so that
//! late and duplicate reports have no effect.
//!
//! ```
//! use dockgate_core::{FairLedger, PoolKey, WorkspaceKey};
//!
//! let mut ledger = FairLedger::default();
//! ledger.charge(PoolKey(1), WorkspaceKey(1), 30.0);
//! assert_eq!(ledger.total(PoolKey(1), WorkspaceKey(1)), 30.0);
//! ```

mod fair_queue;
mod ledger;

pub use fair_queue::{FairQueue, OrderPolicy};
pub use ledger::{FairLedger, LedgerReport, LedgerRow};
