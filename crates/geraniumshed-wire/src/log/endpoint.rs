//! Events of the `endpoints` stream on the wire.

use std::net::SocketAddr;

use geraniumshed_model::prelude::{
    AttemptNumber, EndpointEntry, EndpointEvent, EndpointId, EndpointPhase, ShardId, SlotCount,
};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::DecodeError;
use super::name::{name_text, parse_name};
use super::shard::WireTask;

/// The twin of [`EndpointId`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEndpointId {
    task: WireTask,
    attempt: u32,
}

impl From<EndpointId> for WireEndpointId {
    fn from(endpoint: EndpointId) -> Self {
        Self {
            task: endpoint.task.into(),
            attempt: endpoint.attempt.0,
        }
    }
}

impl TryFrom<WireEndpointId> for EndpointId {
    type Error = DecodeError;

    fn try_from(wire: WireEndpointId) -> Result<Self, Self::Error> {
        Ok(Self {
            task: wire.task.try_into()?,
            attempt: AttemptNumber(wire.attempt),
        })
    }
}

/// The twin of [`EndpointPhase`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireEndpointPhase {
    /// The endpoint takes new requests.
    Ready,
    /// The endpoint takes no new requests.
    Leaving,
}

impl From<EndpointPhase> for WireEndpointPhase {
    fn from(phase: EndpointPhase) -> Self {
        match phase {
            EndpointPhase::Ready => Self::Ready,
            EndpointPhase::Leaving => Self::Leaving,
        }
    }
}

impl From<WireEndpointPhase> for EndpointPhase {
    fn from(phase: WireEndpointPhase) -> Self {
        match phase {
            WireEndpointPhase::Ready => Self::Ready,
            WireEndpointPhase::Leaving => Self::Leaving,
        }
    }
}

/// The twin of [`EndpointEntry`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireEndpoint {
    endpoint: WireEndpointId,
    service: SmolStr,
    address: SocketAddr,
    vm: SmolStr,
    zone: SmolStr,
    slots: u32,
    connections: u32,
    phase: WireEndpointPhase,
}

impl From<EndpointEntry> for WireEndpoint {
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

impl TryFrom<WireEndpoint> for EndpointEntry {
    type Error = DecodeError;

    fn try_from(wire: WireEndpoint) -> Result<Self, Self::Error> {
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

/// The twin of [`EndpointEvent`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum WireEndpointEvent {
    /// The shard's endpoints are these and no others.
    Full {
        /// The shard.
        shard: u16,
        /// All endpoints of the shard.
        entries: Vec<WireEndpoint>,
    },
    /// An endpoint appears or changes.
    Changed {
        /// The shard.
        shard: u16,
        /// The endpoint.
        entry: WireEndpoint,
    },
    /// An endpoint is gone.
    Removed {
        /// The shard.
        shard: u16,
        /// The endpoint.
        endpoint: WireEndpointId,
    },
}

impl From<EndpointEvent> for WireEndpointEvent {
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

impl TryFrom<WireEndpointEvent> for EndpointEvent {
    type Error = DecodeError;

    fn try_from(wire: WireEndpointEvent) -> Result<Self, Self::Error> {
        Ok(match wire {
            WireEndpointEvent::Full { shard, entries } => Self::Full {
                shard: ShardId(shard),
                entries: entries
                    .into_iter()
                    .map(TryInto::try_into)
                    .collect::<Result<_, _>>()?,
            },
            WireEndpointEvent::Changed { shard, entry } => Self::Changed {
                shard: ShardId(shard),
                entry: entry.try_into()?,
            },
            WireEndpointEvent::Removed { shard, endpoint } => Self::Removed {
                shard: ShardId(shard),
                endpoint: endpoint.try_into()?,
            },
        })
    }
}
