//! Endpoints: the addresses at which replicas of services accept requests.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use crate::id::{AttemptNumber, RecordName, TaskId, VmId, ZoneName};
use crate::resource::SlotCount;

/// The id of an endpoint, one for each attempt of a replica.
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

/// The state of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum EndpointPhase {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint finishes its current requests and accepts no new ones.
    Leaving,
}

/// The properties of an endpoint that daemons need to route requests to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointEntry {
    /// The id of the endpoint.
    pub endpoint: EndpointId,
    /// The service that the endpoint belongs to.
    pub service: RecordName,
    /// The address at which the endpoint accepts HTTP requests.
    pub address: SocketAddr,
    /// The VM that the endpoint runs on.
    pub vm: VmId,
    /// The availability zone of the VM.
    pub zone: ZoneName,
    /// The number of requests that the endpoint serves concurrently.
    pub slots: SlotCount,
    /// The maximum number of connections from all daemons together.
    pub connections: u32,
    /// The state of the endpoint.
    pub phase: EndpointPhase,
}
