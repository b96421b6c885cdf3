//! Clusters of real daemons.

mod caller;
mod cluster;
mod load;
mod process;
mod records;
mod wait;

pub use self::caller::{Caller, CallerReply};
pub use self::cluster::{Cluster, ClusterPlan, completed, is_of};
pub use self::load::{Load, LoadPlan, TimedReply};
pub use self::records::{BOOKING, TEAM, job};
pub use self::wait::within;
