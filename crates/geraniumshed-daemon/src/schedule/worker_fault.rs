//! Converts errors of calls to workers into the scheduler's terms.

use geraniumshed_core::schedule::WorkerFault;
use geraniumshed_platform::PlatformError;

/// Classifies a failed call by whether it may have taken effect on the worker.
pub(super) fn worker_fault(error: &PlatformError) -> WorkerFault {
    match error {
        PlatformError::StaleTerm { held } => WorkerFault::StaleTerm(*held),
        PlatformError::WrongBoot { boot } => WorkerFault::WrongBoot(*boot),
        // An exchange is rejected if a later one overtook it; `AnswerLost` makes the scheduler read
        // the worker's inventory again.
        PlatformError::AnswerLost { .. } | PlatformError::Rejected { .. } => {
            WorkerFault::AnswerLost
        }
        PlatformError::Unreachable { .. }
        | PlatformError::Unavailable { .. }
        | PlatformError::Expired { .. } => WorkerFault::NoEffect,
    }
}
