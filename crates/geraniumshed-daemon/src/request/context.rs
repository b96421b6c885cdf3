//! The dependencies of the request path.

use geraniumshed_model::prelude::{DaemonIncarnation, VmId, ZoneName};

use crate::clock::ProcessClock;
use crate::view::{CatchUpView, ConfigView, EndpointView, VmView};

/// The dependencies that the daemon passes to the request path.
#[derive(Debug, Clone)]
pub struct EntryContext<P, K> {
    /// The clock of the process.
    pub clock: ProcessClock,
    /// The seed of all random choices.
    pub seed: u64,
    /// The VM on which the daemon runs.
    pub own: VmId,
    /// The availability zone of the daemon.
    pub zone: ZoneName,
    /// The incarnation of the daemon, which is part of each ticket that it issues.
    pub incarnation: DaemonIncarnation,
    /// The records that are in force in this daemon.
    pub config: ConfigView,
    /// Whether `config` contains all records that the log holds.
    pub config_caught_up: CatchUpView,
    /// The endpoints of all services.
    pub endpoints: EndpointView,
    /// The VMs that the platform lists.
    pub vms: VmView,
    /// Forwards requests to the other daemons.
    pub forwarder: P,
    /// The log of idempotency keys.
    pub key_log: K,
}
