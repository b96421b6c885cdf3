//! The calls between nodes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::call::{JobAnswerWire, JobCallWire};
use super::leader::{LeaderWire, MemberWire};

/// A heartbeat to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatWire {
    /// The sender.
    pub member: MemberWire,
    /// The version of the configuration that the sender has in force.
    pub config_version: u64,
    /// The processors of the sender's VM, in thousandths of one.
    pub processors: u32,
    /// Whether the sender is about to stop.
    pub is_stopping: bool,
}

/// The answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BeatReplyWire {
    /// The incarnation of the process that answers.
    pub incarnation: u64,
    /// Whether the process leads.
    pub is_leading: bool,
    /// The newest claim to lead that the process knows.
    pub leader: Option<LeaderWire>,
    /// The sender's rank among those who may follow the leader, if it is one of them.
    pub rank: Option<u32>,
    /// The members that the leader hears of.
    pub peers: Vec<MemberWire>,
    /// The version of the configuration in force.
    pub config_version: u64,
    /// Whether the process leads and finds the store slow.
    pub is_store_slow: bool,
}

/// The calls between nodes.
#[tarpc::service]
pub trait NodePeer {
    /// Tells that the sender lives, and asks whether the callee leads.
    async fn beat(beat: BeatWire) -> BeatReplyWire;

    /// Passes a client's call on.
    async fn call(call: JobCallWire) -> JobAnswerWire;

    /// Returns the configuration in force, in the platform's own form.
    async fn config() -> Bytes;

    /// Asks the callee whether the store answers its calls.
    async fn probe_store() -> bool;

    /// Asks the callee to pursue the cancellation of a job as well, in case the sender ends.
    async fn pursue_cancel(job: u64);

    /// Returns the jobs whose cancellation the callee pursues.
    async fn pursued_cancels() -> Vec<u64>;

    /// Asks the callee to lead, since the leader of this term doesn't any more.
    async fn succeed(term: u64);
}
