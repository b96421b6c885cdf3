//! VMs as the platform lists them.

use std::net::SocketAddr;

use crate::id::{RackName, RegionName, VmId, ZoneName};
use crate::resource::ResourceSize;

/// What a VM is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VmRole {
    /// The VM runs tasks.
    Worker,
    /// The VM runs a daemon of geraniumshed.
    Entry,
}

/// The state of a VM in the platform's list, which lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VmPhase {
    /// The VM is live.
    Live,
    /// The VM is about to be taken away.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

/// One VM of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEntry {
    /// The id of the VM.
    pub vm: VmId,
    /// What the VM is used for.
    pub role: VmRole,
    /// The state of the VM.
    pub phase: VmPhase,
    /// The region.
    pub region: RegionName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The rack.
    pub rack: RackName,
    /// The address of the worker's control interface or of the daemon's peer interface.
    pub address: SocketAddr,
    /// The size of the VM.
    pub size: ResourceSize,
}
