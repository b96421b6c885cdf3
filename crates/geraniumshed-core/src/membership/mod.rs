//! Who leads: the one daemon whose planner is in force.

mod election;
mod record;

pub use election::{BeatVerdict, ElectionMove, LeaderElection};
pub use record::{LeaderRecord, LeaderTerm, MemberIdentity};
