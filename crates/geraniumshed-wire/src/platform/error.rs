//! Errors of the platform on the wire.

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The reason why the platform did not execute a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "error")]
pub enum ErrorWire {
    /// The platform is down or overloaded and did not process the call. Status 503.
    Unavailable {
        /// The description of the problem.
        reason: SmolStr,
    },
    /// The call is invalid. Status 400.
    Rejected {
        /// The description of the problem.
        reason: SmolStr,
    },
    /// The log no longer retains the offset. Status 410.
    Expired {
        /// The first offset that the log retains.
        first: u64,
    },
    /// The worker has accepted a higher term. Status 409.
    StaleTerm {
        /// The term that the worker has accepted.
        held: u64,
    },
    /// The worker was restarted. Status 409.
    WrongBoot {
        /// The worker's current boot.
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
