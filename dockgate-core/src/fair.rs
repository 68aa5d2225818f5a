//! Fair shares over the fleet: what each workspace has been given, and who is furthest behind.
//!
//! Service is counted for each pair of pool and workspace. Every scheduler counts its own charges;
//! the sums of the others arrive as [`LedgerReport`]s, which are cumulative for one incarnation, so
//! that late and doubled reports change nothing.
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
