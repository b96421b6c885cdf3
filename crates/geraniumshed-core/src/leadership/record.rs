//! The members of the election and the record of the leader.

use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;

use smol_str::SmolStr;

use crate::worker::FenceToken;

/// The number of fencing tokens per term, and thus of times that one leader may raise a worker's
/// token.
const TOKENS_PER_TERM: u64 = 1 << 24;

/// The term of a leader: the offset of its record in the store, counted from 1.
///
/// Each leader has a higher term than all earlier ones, since the store numbers records in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LeaderTerm(pub u64);

impl LeaderTerm {
    /// Returns the lowest fencing token of the term. It is above all tokens of earlier terms.
    pub fn first_token(self) -> FenceToken {
        FenceToken(self.0 * TOKENS_PER_TERM)
    }

    /// Returns whether no other leader was elected between this term and a later one.
    pub fn precedes(self, later: Self) -> bool {
        self.0 + 1 == later.0
    }
}

impl Display for LeaderTerm {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

/// A member of the election: one process of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MemberIdentity {
    /// The daemon's name.
    pub name: SmolStr,
    /// The number that distinguishes this process from earlier ones of the same daemon.
    pub incarnation: u64,
    /// The address at which peers reach the process.
    pub address: SocketAddr,
}

impl Display for MemberIdentity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}", self.name, self.incarnation)
    }
}

/// The stored record of a successful claim to lead. The one with the highest term is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaderRecord {
    /// The term that the claim started.
    pub term: LeaderTerm,
    /// The member that leads in this term.
    pub member: MemberIdentity,
}
