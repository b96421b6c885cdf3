//! Leader election: which one of the nodes runs the planner of batch jobs.

mod election;
mod record;

pub use election::{BeatVerdict, ElectionAction, LeaderElection};
pub use record::{LeaderRecord, LeaderTerm, MemberIdentity};
