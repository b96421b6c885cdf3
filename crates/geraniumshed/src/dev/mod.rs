//! A whole cluster in one process, for trying things out and for checking the promises.
//!
//! [`DevCluster`] runs the stand-ins and some daemons over loopback TCP. [`run_once`] publishes the
//! example records, sends requests, evicts, drains and restarts, and then judges the promises on
//! the stand-ins' own record.

pub mod caller;
pub mod cluster;
pub mod config_check;
pub mod profile;
pub mod scenario;

pub use self::caller::{CallerPlan, CallerPool, KeyChoice};
pub use self::cluster::{DevCluster, DevError};
pub use self::config_check::ConfigCheck;
pub use self::profile::DevProfile;
pub use self::scenario::run_once;
