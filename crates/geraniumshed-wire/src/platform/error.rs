//! Errors of the platform on the wire.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// Why the platform did not do what it was asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum ErrorWire {
    /// The platform is down or overloaded and did not take the call; status 503.
    Unavailable {
        /// What is wrong.
        reason: SmolStr,
    },
    /// The call makes no sense; status 400.
    Rejected {
        /// What is wrong.
        reason: SmolStr,
    },
    /// The log no longer keeps the offset; status 410.
    Expired {
        /// The first offset that it keeps.
        first: u64,
    },
    /// The worker holds a higher term; status 409.
    StaleTerm {
        /// The term that it holds.
        held: u64,
    },
    /// The worker was restarted; status 409.
    WrongBoot {
        /// Its present boot.
        boot: u64,
    },
}

impl ErrorWire {
    /// Returns the HTTP status under which the error is sent.
    pub fn status(&self) -> u16 {
        match self {
            Self::Unavailable { .. } => 503,
            Self::Rejected { .. } => 400,
            Self::Expired { .. } => 410,
            Self::StaleTerm { .. } | Self::WrongBoot { .. } => 409,
        }
    }
}
