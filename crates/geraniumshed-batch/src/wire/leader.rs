//! The serialized forms of a member and of a claim to lead.

use std::net::SocketAddr;

use geraniumshed_core::leadership::{LeaderRecord, LeaderTerm, MemberIdentity};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The identity of a daemon process, as it is stored and sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWire {
    name: SmolStr,
    incarnation: u64,
    address: SocketAddr,
}

/// The newest claim to lead that a node knows, as it is sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderWire {
    term: u64,
    member: MemberWire,
}

impl From<LeaderRecord> for LeaderWire {
    fn from(record: LeaderRecord) -> Self {
        Self {
            term: record.term.0,
            member: record.member.into(),
        }
    }
}

impl From<LeaderWire> for LeaderRecord {
    fn from(wire: LeaderWire) -> Self {
        Self {
            term: LeaderTerm(wire.term),
            member: wire.member.into(),
        }
    }
}

impl From<MemberIdentity> for MemberWire {
    fn from(member: MemberIdentity) -> Self {
        Self {
            name: member.name,
            incarnation: member.incarnation,
            address: member.address,
        }
    }
}

impl From<MemberWire> for MemberIdentity {
    fn from(wire: MemberWire) -> Self {
        Self {
            name: wire.name,
            incarnation: wire.incarnation,
            address: wire.address,
        }
    }
}
