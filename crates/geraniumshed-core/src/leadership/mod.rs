//! Leader election: which one of the nodes runs the planner of batch jobs.

mod election;
mod record;
mod store_outage;

pub use election::{BeatVerdict, ElectionAction, LeaderElection};
pub use record::{LeaderRecord, LeaderTerm, MemberIdentity};
pub use store_outage::{MemberAnswer, OutageVerdict, judge_outage};
