//! Clusters of daemon processes, with callers and load.

mod batch;
mod caller;
mod cluster;
mod load;
mod process;
mod records;
mod wait;

pub use self::batch::{
    TASK_TIMEOUT, attempts, busy_zone, open_cluster, running_vm, short_lease_plan, workers_in,
};
pub use self::caller::{Caller, CallerReply};
pub use self::cluster::{Cluster, ClusterPlan, belongs_to, completed};
pub use self::load::{Load, LoadPlan, TimedReply};
#[allow(unused_imports, reason = "the tests of clients use it")]
pub use self::process::OPERATOR_SECRET;
pub use self::records::{TEAM, job};
pub use self::wait::within;
