//! The VM list on the wire.

use std::net::SocketAddr;

use geraniumshed_model::prelude::{VmEntry, VmPhase, VmRole};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::common::{ResourceSizeWire, WireError};

/// A [`VmRole`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmRoleWire {
    /// [`VmRole::Worker`].
    Worker,
    /// [`VmRole::Entry`].
    Entry,
}

impl From<VmRole> for VmRoleWire {
    fn from(role: VmRole) -> Self {
        match role {
            VmRole::Worker => Self::Worker,
            VmRole::Entry => Self::Entry,
        }
    }
}

impl From<VmRoleWire> for VmRole {
    fn from(wire: VmRoleWire) -> Self {
        match wire {
            VmRoleWire::Worker => Self::Worker,
            VmRoleWire::Entry => Self::Entry,
        }
    }
}

/// A [`VmPhase`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VmPhaseWire {
    /// [`VmPhase::Live`].
    Live,
    /// [`VmPhase::Leaving`].
    Leaving,
    /// [`VmPhase::Gone`].
    Gone,
}

impl From<VmPhase> for VmPhaseWire {
    fn from(phase: VmPhase) -> Self {
        match phase {
            VmPhase::Live => Self::Live,
            VmPhase::Leaving => Self::Leaving,
            VmPhase::Gone => Self::Gone,
        }
    }
}

impl From<VmPhaseWire> for VmPhase {
    fn from(wire: VmPhaseWire) -> Self {
        match wire {
            VmPhaseWire::Live => Self::Live,
            VmPhaseWire::Leaving => Self::Leaving,
            VmPhaseWire::Gone => Self::Gone,
        }
    }
}

/// A [`VmEntry`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VmEntryWire {
    /// The id.
    pub vm: SmolStr,
    /// The role of the VM.
    pub role: VmRoleWire,
    /// The state.
    pub phase: VmPhaseWire,
    /// The region.
    pub region: SmolStr,
    /// The availability zone.
    pub zone: SmolStr,
    /// The rack.
    pub rack: SmolStr,
    /// The address.
    pub address: SocketAddr,
    /// The size.
    pub size: ResourceSizeWire,
}

impl From<&VmEntry> for VmEntryWire {
    fn from(entry: &VmEntry) -> Self {
        Self {
            vm: entry.vm.as_str().into(),
            role: entry.role.into(),
            phase: entry.phase.into(),
            region: entry.region.as_str().into(),
            zone: entry.zone.as_str().into(),
            rack: entry.rack.as_str().into(),
            address: entry.address,
            size: entry.size.into(),
        }
    }
}

impl TryFrom<VmEntryWire> for VmEntry {
    type Error = WireError;

    fn try_from(wire: VmEntryWire) -> Result<Self, WireError> {
        Ok(Self {
            vm: wire.vm.parse()?,
            role: wire.role.into(),
            phase: wire.phase.into(),
            region: wire.region.parse()?,
            zone: wire.zone.parse()?,
            rack: wire.rack.parse()?,
            address: wire.address,
            size: wire.size.into(),
        })
    }
}

/// The changes of the VM list since a version, on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmPageWire {
    /// The version of the list after the changes.
    pub version: u64,
    /// The age of the list, in microseconds.
    pub age_micros: u64,
    /// Whether the page is the complete list.
    pub whole: bool,
    /// The changed VMs.
    pub entries: Vec<VmEntryWire>,
}
