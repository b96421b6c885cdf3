//! Events of the `claims` stream on the wire.

use geraniumshed_model::prelude::{ClaimEvent, DaemonIncarnation, ShardId, ShardTerm};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::codec::DecodeError;
use super::name::{name_text, parse_name};

/// A [`ClaimEvent`] on the wire.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimEventWire {
    /// A daemon becomes the owner of a shard.
    Claim {
        /// The shard.
        shard: u16,
        /// The daemon.
        daemon: SmolStr,
        /// The daemon's incarnation.
        incarnation: u64,
    },
    /// An owner repeats its claim.
    Hold {
        /// The shard.
        shard: u16,
        /// The daemon.
        daemon: SmolStr,
        /// The daemon's incarnation.
        incarnation: u64,
        /// The term of the claim.
        term: u64,
    },
    /// An owner gives up its shard.
    Release {
        /// The shard.
        shard: u16,
        /// The term of the claim.
        term: u64,
    },
}

impl From<ClaimEvent> for ClaimEventWire {
    fn from(event: ClaimEvent) -> Self {
        match event {
            ClaimEvent::Claim {
                shard,
                daemon,
                incarnation,
            } => Self::Claim {
                shard: shard.0,
                daemon: name_text(&daemon),
                incarnation: incarnation.0,
            },
            ClaimEvent::Hold {
                shard,
                daemon,
                incarnation,
                term,
            } => Self::Hold {
                shard: shard.0,
                daemon: name_text(&daemon),
                incarnation: incarnation.0,
                term: term.0,
            },
            ClaimEvent::Release { shard, term } => Self::Release {
                shard: shard.0,
                term: term.0,
            },
        }
    }
}

impl TryFrom<ClaimEventWire> for ClaimEvent {
    type Error = DecodeError;

    fn try_from(wire: ClaimEventWire) -> Result<Self, Self::Error> {
        Ok(match wire {
            ClaimEventWire::Claim {
                shard,
                daemon,
                incarnation,
            } => Self::Claim {
                shard: ShardId(shard),
                daemon: parse_name(&daemon)?,
                incarnation: DaemonIncarnation(incarnation),
            },
            ClaimEventWire::Hold {
                shard,
                daemon,
                incarnation,
                term,
            } => Self::Hold {
                shard: ShardId(shard),
                daemon: parse_name(&daemon)?,
                incarnation: DaemonIncarnation(incarnation),
                term: ShardTerm(term),
            },
            ClaimEventWire::Release { shard, term } => Self::Release {
                shard: ShardId(shard),
                term: ShardTerm(term),
            },
        })
    }
}
