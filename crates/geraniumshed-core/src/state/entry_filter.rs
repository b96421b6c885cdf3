//! Which entries of a stream count: the first copy of each append, and no entry of an old term.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{DaemonIncarnation, LogOffset, ShardTerm, WriterMark};

/// The writers whose marks are kept; a repeat that comes after so many newer writers counts again.
const WRITER_LIMIT: usize = 1024;

/// Whether an entry counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryVerdict {
    /// The entry counts.
    Counts,
    /// The writer's entry of this or of a later number was read before.
    Repeat,
    /// An owner of a higher term wrote to the stream before.
    Void,
}

/// The filter that every reader of a stream applies in the order of the offsets.
///
/// A writer has at most one append in flight in a stream, and numbers its appends in order. A copy
/// of a number that is not above the highest one read is therefore late, and no reader counts it.
#[derive(Debug, Clone, Default)]
pub struct EntryFilter {
    writers: BTreeMap<DaemonIncarnation, WriterTrace>,
    barrier: ShardTerm,
}

/// The last that was read of a writer.
#[derive(Debug, Clone, Copy)]
struct WriterTrace {
    sequence: u64,
    offset: LogOffset,
}

impl EntryFilter {
    /// Judges the next entry of a stream whose owners append under terms.
    ///
    /// Term zero belongs to no owner and is never void.
    pub fn judge_owned(
        &mut self,
        offset: LogOffset,
        mark: WriterMark,
        term: ShardTerm,
    ) -> EntryVerdict {
        if term != ShardTerm::default() && term < self.barrier {
            return EntryVerdict::Void;
        }
        let verdict = self.judge_shared(offset, mark);
        if verdict == EntryVerdict::Counts {
            self.barrier = self.barrier.max(term);
        }
        verdict
    }

    /// Judges the next entry of a stream that all daemons write to.
    pub fn judge_shared(&mut self, offset: LogOffset, mark: WriterMark) -> EntryVerdict {
        let last = self.writers.get(&mark.incarnation);
        if last.is_some_and(|last| mark.sequence <= last.sequence) {
            return EntryVerdict::Repeat;
        }
        let trace = WriterTrace {
            sequence: mark.sequence,
            offset,
        };
        self.writers.insert(mark.incarnation, trace);
        if self.writers.len() > WRITER_LIMIT {
            self.forget_oldest();
        }
        EntryVerdict::Counts
    }

    /// Returns the highest term under which an entry counted.
    pub fn barrier(&self) -> ShardTerm {
        self.barrier
    }

    /// Returns the highest number read of a writer, or zero.
    pub fn last_sequence(&self, incarnation: DaemonIncarnation) -> u64 {
        self.writers
            .get(&incarnation)
            .map_or(0, |last| last.sequence)
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .writers
            .iter()
            .min_by_key(|(_, trace)| trace.offset)
            .map(|(incarnation, _)| *incarnation);
        if let Some(oldest) = oldest {
            self.writers.remove(&oldest);
        }
    }
}
