//! Which process of a worker has given an answer.
//!
//! A worker may start again under its id. What is known about its clock, its lease and its runs then
//! holds for a process that is gone, and nothing but the worker's own answers tells so.

use super::entry::WorkerEntry;
use super::listing::WorkerIncarnation;
use super::message::RenewRequest;

/// How the process that has given an answer relates to the known process of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessMatch {
    /// The known process has answered.
    Known,
    /// A process that started after the known one has answered.
    Later,
    /// It isn't known which process has answered.
    Unclear,
}

impl WorkerEntry {
    /// Returns whether the worker's process is known, and nothing speaks for a later one.
    pub fn is_process_known(&self) -> bool {
        self.incarnation.is_some() && self.later_process_seen_at.is_none()
    }

    /// Returns which process has given an answer. The worker's clock can't tell, since it may show
    /// anything when a process starts.
    pub fn match_process(&self, answering: Option<WorkerIncarnation>) -> ProcessMatch {
        let Some((answering, known)) = answering.zip(self.incarnation) else {
            return ProcessMatch::Unclear;
        };
        match answering {
            _ if answering == known => ProcessMatch::Known,
            _ if answering > known => ProcessMatch::Later,
            _ => ProcessMatch::Unclear,
        }
    }

    /// Returns the process that a renewal is for, or `None` if it has no effect and any may answer it.
    pub fn renewed_process(&self, request: &RenewRequest) -> Option<WorkerIncarnation> {
        self.incarnation.filter(|_| request.has_effect())
    }
}
