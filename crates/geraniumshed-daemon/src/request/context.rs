//! What the request path is given by the daemon.

use geraniumshed_model::prelude::{DaemonIncarnation, VmId, ZoneName};

use crate::clock::ProcessClock;
use crate::view::{CatchUpView, ConfigView, EndpointView, VmView};

/// What the request path is given by the daemon.
#[derive(Debug, Clone)]
pub struct EntryContext<P, K> {
    /// The clock.
    pub clock: ProcessClock,
    /// The seed of all random choices.
    pub seed: u64,
    /// The VM on which the daemon runs.
    pub own: VmId,
    /// The availability zone of the daemon.
    pub zone: ZoneName,
    /// The incarnation of the daemon, which tickets name.
    pub incarnation: DaemonIncarnation,
    /// The records in force.
    pub config: ConfigView,
    /// Whether these are all records that the log holds.
    pub config_read: CatchUpView,
    /// The endpoints of all services.
    pub endpoints: EndpointView,
    /// The VMs that the platform lists.
    pub vms: VmView,
    /// The way to the other daemons.
    pub forwarder: P,
    /// The log of keys.
    pub key_log: K,
}
