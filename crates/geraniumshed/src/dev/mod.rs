//! A whole cluster in one process, for first trials and for checking what the system
//! promises its users (see `geraniumshed_standin::history`).
//!
//! [`DevCluster`] runs the stand-ins and some daemons over loopback TCP. [`run_once`] publishes the
//! example records, sends requests, drains a worker, restarts a daemon, and then checks the
//! promises against the ledger that the stand-ins keep.

pub mod caller;
pub mod cluster;
pub mod config_check;
pub mod profile;
pub mod scenario;

pub use self::caller::{CallerPlan, CallerPool, KeyKind};
pub use self::cluster::{DevCluster, DevError};
pub use self::config_check::ConfigCheck;
pub use self::profile::DevProfile;
pub use self::scenario::run_once;
