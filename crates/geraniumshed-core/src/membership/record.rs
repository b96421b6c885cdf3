//! Members and the record that names the leader.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::worker::FenceToken;

/// The number of orders that one leader may settle by raising a worker's token.
const TOKENS_PER_TERM: u64 = 1 << 24;

/// The term of a leader: the offset of its record in the store, counted from 1.
///
/// Terms rise with each leader, since the store numbers records in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaderTerm(pub u64);

impl LeaderTerm {
    /// Returns the lowest token of the term's orders.
    pub fn first_token(self) -> FenceToken {
        FenceToken(self.0 * TOKENS_PER_TERM)
    }
}

impl Display for LeaderTerm {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

/// One process of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberIdentity {
    /// The daemon's name.
    pub name: SmolStr,
    /// The number that tells this process from earlier ones of the same daemon.
    pub incarnation: u64,
    /// Where peers reach the process.
    pub address: SocketAddr,
}

impl Display for MemberIdentity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.name, self.incarnation)
    }
}

/// The newest claim to lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderRecord {
    /// The term.
    pub term: LeaderTerm,
    /// The leader.
    pub member: MemberIdentity,
}
