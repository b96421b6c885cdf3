//! Calls to workers, with their errors as the core knows them.

use geraniumshed_core::schedule::WorkerFault;
use geraniumshed_platform::PlatformError;

/// Returns what a failed call to a worker means for its effect.
pub(super) fn worker_fault(error: &PlatformError) -> WorkerFault {
    match error {
        PlatformError::StaleTerm { held } => WorkerFault::StaleTerm(*held),
        PlatformError::WrongBoot { boot } => WorkerFault::WrongBoot(*boot),
        // A rejected exchange is one that a later one overtook, so its inventory is read again.
        PlatformError::AnswerLost { .. } | PlatformError::Rejected { .. } => {
            WorkerFault::AnswerLost
        }
        PlatformError::Unreachable { .. }
        | PlatformError::Unavailable { .. }
        | PlatformError::Expired { .. } => WorkerFault::NoEffect,
    }
}
