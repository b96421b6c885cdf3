//! Which process of a worker has given an answer.
//!
//! A worker may start again under its id. What is known about its clock, its lease and its runs then
//! holds for a process that is gone, and nothing but the worker's own answers tells so.

use geraniumshed_model::prelude::TimePoint;

use super::clock::WorkerTime;
use super::entry::WorkerEntry;
use super::listing::WorkerIncarnation;

/// What an answer tells about the worker process that gave it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessReading {
    /// The reading of the process's clock, if the answer contains one.
    pub clock: Option<WorkerTime>,
    /// The process, if the answer contains its start time.
    pub incarnation: Option<WorkerIncarnation>,
}

/// How the process that has given an answer relates to the known process of its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessMatch {
    /// The known process has answered.
    Known,
    /// A process that started after the known one has answered.
    Later,
    /// The answer doesn't tell which process has given it.
    Unclear,
}

impl WorkerEntry {
    /// Returns which process has answered a call that was sent at a given time.
    ///
    /// An answer without the start time of its process is judged by the clock, which is reset when a
    /// process starts. A process that shows more time than has passed since the known one was last asked
    /// for its clock was up then, and one that shows less than the known one must is another.
    pub fn match_process(
        &self,
        reading: ProcessReading,
        sent_at: TimePoint,
        now: TimePoint,
    ) -> ProcessMatch {
        if let (Some(answering), Some(known)) = (reading.incarnation, self.incarnation) {
            return match answering {
                _ if answering == known => ProcessMatch::Known,
                _ if answering > known => ProcessMatch::Later,
                _ => ProcessMatch::Unclear,
            };
        }
        let (Some(shown), Some(clock)) = (reading.clock, self.clock) else {
            return ProcessMatch::Unclear;
        };
        let since_asked = WorkerTime::default().plus(now.since(clock.asked_at()));
        let is_later_reading = sent_at >= clock.read_at();
        if shown > since_asked {
            ProcessMatch::Known
        } else if is_later_reading && shown < clock.earliest(sent_at) {
            ProcessMatch::Later
        } else {
            ProcessMatch::Unclear
        }
    }
}
