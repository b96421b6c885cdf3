//! Clusters of real daemons.

mod batch;
mod caller;
mod cluster;
mod load;
mod process;
mod records;
mod wait;

pub use self::batch::{
    PATIENCE, attempts, busy_zone, open_cluster, running_vm, short_plan, workers_in,
};
pub use self::caller::{Caller, CallerReply};
pub use self::cluster::{Cluster, ClusterPlan, completed, is_of};
pub use self::load::{Load, LoadPlan, TimedReply};
pub use self::records::{TEAM, job};
pub use self::wait::within;
