//! The error of an append.

use std::fmt::{self, Display, Formatter};

/// Why an append was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AppendError {
    /// The log accepted no copy of the entry, so the events are certainly not appended.
    Unavailable,
    /// The entry may have been appended: the answer was lost or late, and the entry was not read
    /// back in time.
    Unconfirmed,
    /// An entry of a later owner, or a later append of this daemon, precedes the entry, so readers
    /// ignore it.
    Superseded,
}

impl Display for AppendError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "the log did not accept the entry",
            Self::Unconfirmed => "the log did not confirm the entry",
            Self::Superseded => "a later owner's entry or a later append precedes the entry",
        })
    }
}

impl std::error::Error for AppendError {}
