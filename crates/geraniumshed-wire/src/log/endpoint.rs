//! Events of the `endpoints` stream on the wire.

use std::net::SocketAddr;

use geraniumshed_model::prelude::{
    AttemptNumber, EndpointEntry, EndpointEvent, EndpointId, EndpointPhase, ShardId, SlotCount,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::DecodeError;
use super::name::{name_text, parse_name};
use crate::common::TaskIdWire;

/// An [`EndpointId`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointIdWire {
    task: TaskIdWire,
    attempt: u32,
}

impl From<EndpointId> for EndpointIdWire {
    fn from(endpoint: EndpointId) -> Self {
        Self {
            task: (&endpoint.task).into(),
            attempt: endpoint.attempt.0,
        }
    }
}

impl TryFrom<EndpointIdWire> for EndpointId {
    type Error = DecodeError;

    fn try_from(wire: EndpointIdWire) -> Result<Self, Self::Error> {
        Ok(Self {
            task: wire.task.try_into()?,
            attempt: AttemptNumber(wire.attempt),
        })
    }
}

/// An [`EndpointPhase`] on the wire.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointPhaseWire {
    /// The endpoint accepts new requests.
    Ready,
    /// The endpoint accepts no new requests.
    Leaving,
}

impl From<EndpointPhase> for EndpointPhaseWire {
    fn from(phase: EndpointPhase) -> Self {
        match phase {
            EndpointPhase::Ready => Self::Ready,
            EndpointPhase::Leaving => Self::Leaving,
        }
    }
}

impl From<EndpointPhaseWire> for EndpointPhase {
    fn from(phase: EndpointPhaseWire) -> Self {
        match phase {
            EndpointPhaseWire::Ready => Self::Ready,
            EndpointPhaseWire::Leaving => Self::Leaving,
        }
    }
}

/// An [`EndpointEntry`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntryWire {
    endpoint: EndpointIdWire,
    service: SmolStr,
    address: SocketAddr,
    vm: SmolStr,
    zone: SmolStr,
    slots: u32,
    connections: u32,
    phase: EndpointPhaseWire,
}

impl From<EndpointEntry> for EndpointEntryWire {
    fn from(entry: EndpointEntry) -> Self {
        Self {
            endpoint: entry.endpoint.into(),
            service: name_text(&entry.service),
            address: entry.address,
            vm: name_text(&entry.vm),
            zone: name_text(&entry.zone),
            slots: entry.slots.0,
            connections: entry.connections,
            phase: entry.phase.into(),
        }
    }
}

impl TryFrom<EndpointEntryWire> for EndpointEntry {
    type Error = DecodeError;

    fn try_from(wire: EndpointEntryWire) -> Result<Self, Self::Error> {
        Ok(Self {
            endpoint: wire.endpoint.try_into()?,
            service: parse_name(&wire.service)?,
            address: wire.address,
            vm: parse_name(&wire.vm)?,
            zone: parse_name(&wire.zone)?,
            slots: SlotCount(wire.slots),
            connections: wire.connections,
            phase: wire.phase.into(),
        })
    }
}

/// An [`EndpointEvent`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointEventWire {
    /// The complete list of a shard's endpoints.
    Full {
        /// The shard.
        shard: u16,
        /// All endpoints of the shard.
        entries: Vec<EndpointEntryWire>,
    },
    /// An endpoint was added or changed.
    Changed {
        /// The shard.
        shard: u16,
        /// The endpoint.
        entry: EndpointEntryWire,
    },
    /// An endpoint was removed.
    Removed {
        /// The shard.
        shard: u16,
        /// The endpoint.
        endpoint: EndpointIdWire,
    },
}

impl From<EndpointEvent> for EndpointEventWire {
    fn from(event: EndpointEvent) -> Self {
        match event {
            EndpointEvent::Full { shard, entries } => Self::Full {
                shard: shard.0,
                entries: entries.into_iter().map(Into::into).collect(),
            },
            EndpointEvent::Changed { shard, entry } => Self::Changed {
                shard: shard.0,
                entry: entry.into(),
            },
            EndpointEvent::Removed { shard, endpoint } => Self::Removed {
                shard: shard.0,
                endpoint: endpoint.into(),
            },
        }
    }
}

impl TryFrom<EndpointEventWire> for EndpointEvent {
    type Error = DecodeError;

    fn try_from(wire: EndpointEventWire) -> Result<Self, Self::Error> {
        Ok(match wire {
            EndpointEventWire::Full { shard, entries } => Self::Full {
                shard: ShardId(shard),
                entries: entries
                    .into_iter()
                    .map(TryInto::try_into)
                    .collect::<Result<_, _>>()?,
            },
            EndpointEventWire::Changed { shard, entry } => Self::Changed {
                shard: ShardId(shard),
                entry: entry.try_into()?,
            },
            EndpointEventWire::Removed { shard, endpoint } => Self::Removed {
                shard: ShardId(shard),
                endpoint: endpoint.try_into()?,
            },
        })
    }
}
