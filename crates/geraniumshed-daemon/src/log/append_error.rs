//! Why an append did not count.

use std::fmt::{self, Display, Formatter};

/// Why an append was not confirmed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AppendError {
    /// The log took no copy of the entry, so that it never counts.
    Unavailable,
    /// The entry may count: no answer told, and it was not read back in time.
    Unconfirmed,
    /// A later owner or a later append came first, so that the entry never counts.
    Superseded,
}

impl Display for AppendError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unavailable => "the log did not take the entry",
            Self::Unconfirmed => "the log did not confirm the entry",
            Self::Superseded => "another owner's entry came first",
        })
    }
}

impl std::error::Error for AppendError {}
