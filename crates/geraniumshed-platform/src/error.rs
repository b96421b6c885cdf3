//! What can go wrong between a daemon and the platform.

use std::fmt::{self, Display, Formatter};

use geraniumshed_model::prelude::{BootId, LogOffset, ShardTerm};
use smol_str::SmolStr;

/// An error of a call to the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformError {
    /// The call certainly took no effect: no connection was made.
    Unreachable {
        /// What the transport reported.
        reason: SmolStr,
    },
    /// The call may have taken effect: its answer was lost or came too late.
    AnswerLost {
        /// What the transport reported.
        reason: SmolStr,
    },
    /// The platform is overloaded or down and did not take the call.
    Unavailable {
        /// What the platform reported.
        reason: SmolStr,
    },
    /// The platform can't understand the call.
    Rejected {
        /// What the platform reported.
        reason: SmolStr,
    },
    /// The log no longer keeps the entries that were asked for.
    Expired {
        /// The first offset that the log still keeps.
        first: LogOffset,
    },
    /// The worker was seized under a higher term.
    StaleTerm {
        /// The term that the worker holds.
        held: ShardTerm,
    },
    /// The worker has been restarted.
    WrongBoot {
        /// The worker's present boot.
        boot: BootId,
    },
}

impl PlatformError {
    /// Tells whether the call certainly took no effect.
    pub fn is_certain(&self) -> bool {
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
            Self::StaleTerm { held } => write!(f, "the worker is held under term {held}"),
            Self::WrongBoot { boot } => write!(f, "the worker was restarted as boot {boot}"),
        }
    }
}

impl std::error::Error for PlatformError {}
