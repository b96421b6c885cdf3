//! What daemons tell each other of themselves.

use std::net::SocketAddr;

use crate::endpoint::EndpointId;
use crate::id::{DaemonId, DaemonIncarnation, LogOffset, RegionName, ZoneName};

/// Who a daemon is and where it is reached.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerIdentity {
    /// The daemon.
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

/// What a daemon tells its peers with each heartbeat.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerReport {
    /// Who the daemon is.
    pub identity: PeerIdentity,
    /// The offset after the last entry of the `config` stream that it has applied.
    pub applied: LogOffset,
    /// Whether it has caught up and takes requests.
    pub serving: bool,
    /// Whether the log has not answered it for some seconds.
    pub log_silent: bool,
    /// Whether it is about to stop.
    pub leaving: bool,
    /// Endpoints that it has lately seen to be leaving.
    pub leaving_endpoints: Vec<EndpointId>,
}
