//! What daemons report about themselves to their peers.

use std::net::SocketAddr;

use crate::endpoint::EndpointId;
use crate::id::{DaemonId, DaemonIncarnation, LogOffset, RegionName, ZoneName};

/// The identity, location and address of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerIdentity {
    /// The id of the daemon.
    pub daemon: DaemonId,
    /// Its incarnation.
    pub incarnation: DaemonIncarnation,
    /// Its region.
    pub region: RegionName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address of its peer interface.
    pub address: SocketAddr,
}

/// The report that a daemon sends to its peers with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// The identity of the daemon.
    pub identity: PeerIdentity,
    /// The offset after the last entry of the `config` stream that it has applied.
    pub applied: LogOffset,
    /// Whether it has caught up with the log and accepts requests.
    pub serving: bool,
    /// Whether it has had no answer from the log for several seconds.
    pub log_silent: bool,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The endpoints that it has recently seen to be leaving.
    pub leaving_endpoints: Vec<EndpointId>,
}
