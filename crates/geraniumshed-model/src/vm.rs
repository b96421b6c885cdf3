//! VMs in the platform's VM list.

use std::net::SocketAddr;

use crate::id::{RackName, RegionName, VmId, ZoneName};
use crate::resource::ResourceSize;

/// The role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VmRole {
    /// The VM runs tasks.
    Worker,
    /// The VM runs a daemon of geraniumshed.
    Entry,
}

/// The state of a VM according to the platform's list, which may be out of date.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum VmPhase {
    /// The VM is running.
    Live,
    /// The platform is about to remove the VM.
    Leaving,
    /// The VM no longer exists.
    Gone,
}

/// An entry of the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEntry {
    /// The id of the VM.
    pub vm: VmId,
    /// The role of the VM.
    pub role: VmRole,
    /// The state of the VM.
    pub phase: VmPhase,
    /// The region.
    pub region: RegionName,
    /// The availability zone.
    pub zone: ZoneName,
    /// The rack.
    pub rack: RackName,
    /// The address of the worker's control interface, or of the daemon's peer interface on an entry
    /// VM.
    pub address: SocketAddr,
    /// The size of the VM.
    pub size: ResourceSize,
}
