//! Filters the entries of a stream: drops duplicates of appends, and entries of superseded terms.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{DaemonIncarnation, LogOffset, ShardTerm, WriterMark};

/// The number of writers that are remembered. A duplicate that arrives after this many newer
/// writers isn't recognized any more.
const WRITER_LIMIT: usize = 1024;

/// Whether an entry is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryVerdict {
    /// The entry is valid and takes effect.
    Valid,
    /// The entry is a duplicate: one of the same writer with this or a higher sequence number was
    /// read before.
    Duplicate,
    /// The entry has no effect, since an owner with a higher term wrote to the stream before.
    Superseded,
}

/// Decides which entries of a stream are valid. All readers apply it to the entries in the order of
/// their offsets, and so agree.
///
/// A writer numbers its appends to a stream in order and has at most one of them in flight. An
/// entry whose number isn't above the highest one read so far is therefore a late duplicate of an
/// append.
#[derive(Debug, Clone, Default)]
pub struct EntryFilter {
    writers: BTreeMap<DaemonIncarnation, LastEntry>,
    barrier: ShardTerm,
}

/// The last valid entry of a writer.
#[derive(Debug, Clone, Copy)]
struct LastEntry {
    sequence: u64,
    offset: LogOffset,
}

impl EntryFilter {
    /// Returns the verdict on the next entry of a stream whose entries carry the term of a shard
    /// owner.
    ///
    /// Term zero belongs to no owner and is never superseded.
    pub fn judge_owned(
        &mut self,
        offset: LogOffset,
        mark: WriterMark,
        term: ShardTerm,
    ) -> EntryVerdict {
        if term != ShardTerm::default() && term < self.barrier {
            return EntryVerdict::Superseded;
        }
        let verdict = self.judge_shared(offset, mark);
        if verdict == EntryVerdict::Valid {
            self.barrier = self.barrier.max(term);
        }
        verdict
    }

    /// Returns the verdict on the next entry of a stream that all daemons write to without terms.
    pub fn judge_shared(&mut self, offset: LogOffset, mark: WriterMark) -> EntryVerdict {
        let last = self.writers.get(&mark.incarnation);
        if last.is_some_and(|last| mark.sequence <= last.sequence) {
            return EntryVerdict::Duplicate;
        }
        let entry = LastEntry {
            sequence: mark.sequence,
            offset,
        };
        self.writers.insert(mark.incarnation, entry);
        if self.writers.len() > WRITER_LIMIT {
            self.forget_oldest();
        }
        EntryVerdict::Valid
    }

    /// Returns the highest term of a valid entry. Entries of lower terms have no effect.
    pub fn barrier(&self) -> ShardTerm {
        self.barrier
    }

    /// Returns the highest sequence number read of a writer, or zero.
    pub fn last_sequence(&self, incarnation: DaemonIncarnation) -> u64 {
        self.writers
            .get(&incarnation)
            .map_or(0, |last| last.sequence)
    }

    fn forget_oldest(&mut self) {
        let oldest = self
            .writers
            .iter()
            .min_by_key(|(_, last)| last.offset)
            .map(|(incarnation, _)| *incarnation);
        if let Some(oldest) = oldest {
            self.writers.remove(&oldest);
        }
    }
}
