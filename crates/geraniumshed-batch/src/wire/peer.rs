//! The calls between nodes.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::call::{JobAnswerWire, JobCallWire};
use super::courier::{CourierReplyBatchWire, CourierRequestWire};
use super::forecast::{ForecastQueryWire, ForecastReplyWire};
use super::leader::{LeaderWire, MemberWire};

/// A heartbeat, which members send to the leader, or to any peer to find the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatWire {
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
pub struct HeartbeatReplyWire {
    /// The incarnation of the answering process.
    pub incarnation: u64,
    /// Whether the answering process leads.
    pub is_leading: bool,
    /// The newest claim to lead that the answering process knows.
    pub leader: Option<LeaderWire>,
    /// The sender's rank among the candidates to succeed the leader, if it is one of them.
    pub rank: Option<u32>,
    /// The live members from which the answering process gets heartbeats.
    pub peers: Vec<MemberWire>,
    /// The version of the configuration that the answering process has in force.
    pub config_version: u64,
    /// Whether the answering process leads and the store is slow to answer it.
    pub is_store_slow: bool,
}

/// A question for a newer configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigQueryWire {
    /// The version that the caller has in force.
    pub base: u64,
    /// The offset at which the topic of configurations ends, as far as the caller knows.
    pub published: u64,
}

/// The answer to a question for a newer configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigReplyWire {
    /// The offset before which the topic holds nothing newer than what the callee has in force.
    pub covered: u64,
    /// Whether the store answers the callee.
    pub can_read_store: bool,
    /// A [`ConfigUpdateWire`](super::ConfigUpdateWire) as a record; empty if the callee has no newer
    /// version in force than the caller.
    pub update: Bytes,
}

/// The calls between nodes.
#[tarpc::service]
pub trait NodePeer {
    /// Reports that the caller is alive, and asks whether the callee leads.
    async fn heartbeat(request: HeartbeatWire) -> HeartbeatReplyWire;

    /// Forwards a client's call.
    async fn forward_call(call: JobCallWire) -> JobAnswerWire;

    /// Returns what has changed in the configuration. The callee waits a moment for what it knows to
    /// be published.
    async fn config_update(query: ConfigQueryWire) -> ConfigReplyWire;

    /// Asks the callee whether the store answers its calls.
    async fn probe_store() -> bool;

    /// Asks the callee to send the cancellation of a job to the leader as well, in case the caller
    /// fails.
    async fn replicate_cancel(job: u64);

    /// Returns the jobs whose cancellation is active on the callee.
    async fn active_cancels() -> Vec<u64>;

    /// Asks the callee to become the leader, since the leader of this term has resigned.
    async fn become_leader(term: u64);

    /// Makes calls to workers for the leader, and returns the answers that are known by then or within a
    /// short time.
    async fn call_workers(request: CourierRequestWire) -> CourierReplyBatchWire;

    /// Returns the leader's newest forecast of waits. The callee waits up to a second for one that the
    /// caller doesn't know. Nodes of earlier releases don't know the call and close the connection.
    async fn wait_forecast(query: ForecastQueryWire) -> ForecastReplyWire;
}
