//! The stored form of a member.

use std::net::SocketAddr;

use geraniumshed_core::membership::MemberIdentity;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A process of a daemon, as it is stored and sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWire {
    name: SmolStr,
    incarnation: u64,
    address: SocketAddr,
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
