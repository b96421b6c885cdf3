//! Endpoints: the addresses at which replicas of services take requests.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use crate::id::{AttemptNumber, RecordName, TaskId, VmId, ZoneName};
use crate::resource::SlotCount;

/// The id of an endpoint: one attempt of one replica.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointId {
    /// The replica.
    pub task: TaskId,
    /// The attempt of the replica.
    pub attempt: AttemptNumber,
}

impl Display for EndpointId {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.task, self.attempt)
    }
}

/// Whether an endpoint takes new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointPhase {
    /// The endpoint takes new requests.
    Ready,
    /// The endpoint finishes the requests that it has and takes no new ones.
    Leaving,
}

/// What daemons know of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The service that the endpoint belongs to.
    pub service: RecordName,
    /// The address at which the endpoint takes HTTP requests.
    pub address: SocketAddr,
    /// The VM on which the endpoint runs.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The number of requests that the endpoint serves at once.
    pub slots: SlotCount,
    /// The number of connections that the endpoint takes from all daemons together.
    pub connections: u32,
    /// Whether the endpoint takes new requests.
    pub phase: EndpointPhase,
}
