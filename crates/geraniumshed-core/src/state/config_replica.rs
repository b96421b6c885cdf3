//! The records in force, recovered from a snapshot if the log has dropped entries.

use geraniumshed_model::prelude::{
    ConfigEvent, LogBatch, LogOffset, RecordGeneration, RecordKind, SnapshotPart,
};

use super::config::{ConfigState, PublishVerdict};
use super::snapshot_parts::SnapshotParts;

/// The records in force, recovered from a snapshot if the log has dropped entries.
///
/// A snapshot is written to the log in parts, with other entries in between. Its number is an
/// offset, and it replaces all entries before that offset. A reader that misses entries buffers
/// what it reads from then on, and applies it on top of the first complete snapshot that replaces
/// all missing entries. Until then its previous records stay in force.
#[derive(Debug, Clone, Default)]
pub struct ConfigReplica {
    config: ConfigState,
    gap: Option<LogGap>,
}

/// The entries read since others were dropped unread.
#[derive(Debug, Clone)]
struct LogGap {
    /// The offset after the last entry that was dropped.
    first: LogOffset,
    entries: Vec<(LogOffset, LogBatch<ConfigEvent>)>,
    parts: SnapshotParts,
    /// Whether the stream was read to its end since.
    read_through: bool,
}

/// A complete snapshot that covers the missing entries.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeSnapshot {
    /// The encoded snapshot.
    pub bytes: Vec<u8>,
}

impl ConfigReplica {
    /// Returns the records in force.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Returns whether no entry is missing.
    pub fn is_complete(&self) -> bool {
        self.gap.is_none()
    }

    /// Records that all entries before an offset have been read.
    pub fn advance(&mut self, end: LogOffset) {
        if self.gap.is_none() {
            self.config.advance(end);
        }
    }

    /// Records that the stream has been read to its end.
    pub fn reach_end(&mut self, end: LogOffset) {
        match &mut self.gap {
            Some(gap) => gap.read_through = true,
            None => self.config.advance(end),
        }
    }

    /// Records that the log dropped unread entries before an offset.
    pub fn record_gap(&mut self, first: LogOffset) {
        self.gap = Some(LogGap {
            first,
            entries: Vec::new(),
            parts: SnapshotParts::default(),
            read_through: false,
        });
    }

    /// Applies an entry and returns a verdict for each of its events, unless entries are missing.
    ///
    /// Returns a snapshot that can replace the missing entries as soon as it is complete.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        batch: LogBatch<ConfigEvent>,
    ) -> (Vec<PublishVerdict>, Option<WholeSnapshot>) {
        let Some(gap) = &mut self.gap else {
            return (apply_batch(&mut self.config, offset, &batch), None);
        };
        let mut complete = None;
        for event in &batch.events {
            if let ConfigEvent::Snapshot(part) = event {
                complete = gap.add_part(&batch, part).or(complete);
            }
        }
        gap.entries.push((offset, batch));
        (Vec::new(), complete)
    }

    /// Puts the state of a snapshot in force and applies the buffered entries that follow it.
    pub fn restore(&mut self, config: ConfigState) {
        let Some(gap) = self.gap.take() else {
            return;
        };
        if config.applied() < gap.first || config.applied() < self.config.applied() {
            self.gap = Some(gap);
            return;
        }
        self.config = config;
        self.replay(&gap);
    }

    /// Continues without the missing entries if the log contains no snapshot that replaces them.
    ///
    /// The previous records stay in force. New records start above every generation that the
    /// dropped entries may have used, since no generation is higher than the offset of its entry.
    pub fn continue_without_snapshot(&mut self) {
        let Some(gap) = self.gap.take_if(|gap| gap.read_through) else {
            return;
        };
        let floor = RecordGeneration(gap.first.0);
        for kind in RecordKind::all() {
            self.config.raise_floor(kind, floor);
        }
        self.config.advance(gap.first);
        self.replay(&gap);
    }

    fn replay(&mut self, gap: &LogGap) {
        for (offset, batch) in &gap.entries {
            if *offset >= self.config.applied() {
                apply_batch(&mut self.config, *offset, batch);
            }
        }
    }
}

impl LogGap {
    /// Adds a part of a snapshot, unless the snapshot doesn't replace all missing entries.
    fn add_part(
        &mut self,
        batch: &LogBatch<ConfigEvent>,
        part: &SnapshotPart,
    ) -> Option<WholeSnapshot> {
        if LogOffset(part.snapshot) < self.first {
            return None;
        }
        let (_, bytes) = self.parts.add(batch.mark.incarnation, part)?;
        Some(WholeSnapshot { bytes })
    }
}

fn apply_batch(
    config: &mut ConfigState,
    offset: LogOffset,
    batch: &LogBatch<ConfigEvent>,
) -> Vec<PublishVerdict> {
    let verdicts = batch
        .events
        .iter()
        .map(|event| config.apply(offset, event))
        .collect();
    config.advance(offset.next());
    verdicts
}
