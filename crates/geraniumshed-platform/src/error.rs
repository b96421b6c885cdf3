//! Errors of calls to the platform.

use std::fmt::{self, Display, Formatter};

use geraniumshed_model::prelude::{BootId, LogOffset, ShardTerm};
use smol_str::SmolStr;

/// An error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// No connection was established, so the call had no effect.
    Unreachable {
        /// The error reported by the HTTP client.
        reason: SmolStr,
    },
    /// The answer was lost or came too late, so the call may have taken effect.
    AnswerLost {
        /// The error reported by the HTTP client.
        reason: SmolStr,
    },
    /// The platform is overloaded or down and did not process the call.
    Unavailable {
        /// The reason reported by the platform.
        reason: SmolStr,
    },
    /// The platform rejected the call as invalid.
    Rejected {
        /// The reason reported by the platform.
        reason: SmolStr,
    },
    /// The log no longer retains the requested entries.
    Expired {
        /// The first offset that the log still retains.
        first: LogOffset,
    },
    /// The worker has accepted an owner with a higher term.
    StaleTerm {
        /// The term that the worker has accepted.
        held: ShardTerm,
    },
    /// The worker has been restarted.
    WrongBoot {
        /// The worker's current boot.
        boot: BootId,
    },
}

impl PlatformError {
    /// Returns whether the call is certain to have had no effect.
    pub fn has_no_effect(&self) -> bool {
        !matches!(self, Self::AnswerLost { .. })
    }
}

impl Display for PlatformError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { reason } => write!(f, "the platform can't be reached: {reason}"),
            Self::AnswerLost { reason } => write!(f, "the platform's answer was lost: {reason}"),
            Self::Unavailable { reason } => write!(f, "the platform is unavailable: {reason}"),
            Self::Rejected { reason } => write!(f, "the platform rejected the call: {reason}"),
            Self::Expired { first } => write!(f, "the log keeps entries only from offset {first}"),
            Self::StaleTerm { held } => write!(f, "the worker has accepted term {held}"),
            Self::WrongBoot { boot } => write!(f, "the worker was restarted as boot {boot}"),
        }
    }
}

impl std::error::Error for PlatformError {}
