//! The records in force, recovered from a snapshot where the log has dropped entries.

use geraniumshed_model::prelude::{
    ConfigEvent, LogBatch, LogOffset, RecordGeneration, RecordKind, SnapshotPart,
};

use super::config::{ConfigState, PublishVerdict};
use super::snapshot_parts::SnapshotParts;

/// The records in force, recovered from a snapshot where the log has dropped entries.
///
/// A snapshot is written in parts between other entries. It stands for all entries before its
/// number; a reader that lacks some of these keeps what it reads from then on, and applies it on
/// top of the first whole snapshot that stands for all that it lacks. Until then the records that
/// it had stay in force.
#[derive(Debug, Clone, Default)]
pub struct ConfigReplica {
    config: ConfigState,
    gap: Option<LogGap>,
}

/// Entries that were read behind dropped ones.
#[derive(Debug, Clone)]
struct LogGap {
    /// The offset after the last entry that was dropped.
    first: LogOffset,
    entries: Vec<(LogOffset, LogBatch<ConfigEvent>)>,
    parts: SnapshotParts,
    /// Whether everything that the log still keeps was read.
    read_through: bool,
}

/// A snapshot that was read whole and that the replica waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WholeSnapshot {
    /// The encoded bytes.
    pub bytes: Vec<u8>,
}

impl ConfigReplica {
    /// Returns the records in force.
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// Tells whether no entry is missing.
    pub fn is_complete(&self) -> bool {
        self.gap.is_none()
    }

    /// Takes note that all entries before an offset have been read.
    pub fn advance(&mut self, end: LogOffset) {
        if self.gap.is_none() {
            self.config.advance(end);
        }
    }

    /// Takes note that everything up to the stream's end has been read.
    pub fn reach_end(&mut self, end: LogOffset) {
        match &mut self.gap {
            Some(gap) => gap.read_through = true,
            None => self.config.advance(end),
        }
    }

    /// Takes note that the entries before an offset were dropped before they were read.
    pub fn lose(&mut self, first: LogOffset) {
        self.gap = Some(LogGap {
            first,
            entries: Vec::new(),
            parts: SnapshotParts::default(),
            read_through: false,
        });
    }

    /// Applies an entry and returns a verdict for each of its events, unless entries are missing.
    ///
    /// Returns a snapshot that can stand for the missing ones as soon as it is whole.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        batch: LogBatch<ConfigEvent>,
    ) -> (Vec<PublishVerdict>, Option<WholeSnapshot>) {
        let Some(gap) = &mut self.gap else {
            return (apply_batch(&mut self.config, offset, &batch), None);
        };
        let mut whole = None;
        for event in &batch.events {
            if let ConfigEvent::Snapshot(part) = event {
                whole = gap.add_part(&batch, part).or(whole);
            }
        }
        gap.entries.push((offset, batch));
        (Vec::new(), whole)
    }

    /// Puts the state of a snapshot in force, with the entries read since it was taken.
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

    /// Goes on without the missing entries, since no snapshot stands for them in all that the log
    /// still keeps.
    ///
    /// What was in force stays so. New names start above every generation that can have been
    /// dropped, since none is higher than the offsets of the dropped entries.
    pub fn adopt(&mut self) {
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
    /// Adds a part of a snapshot that stands for all that is missing.
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
