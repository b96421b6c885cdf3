//! The records in force, derived from the `config` stream.

use std::collections::BTreeMap;
use std::sync::Arc;

use geraniumshed_model::prelude::{
    ConfigEvent, LogOffset, OperatorRecord, RecordBody, RecordGeneration, RecordKey, RecordKind,
    RecordSpec, ShardId,
};

use super::job_progress::{EndedCount, FinishedJob, ProgressTable};
use super::record_table::{HeldRecord, RecordEntry, RecordTable};

/// The outcome of publishing or withdrawing a record. It is the same in every daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PublishVerdict {
    /// The record is in force as this generation.
    Accepted(RecordGeneration),
    /// The schema version of the record is unknown. The record is held as this generation, while
    /// the previous one stays in force.
    Held(RecordGeneration),
    /// Another operator has changed the record in the meantime.
    Conflict {
        /// The latest generation, or zero if there is no such record.
        current: RecordGeneration,
        /// The generation that the operator wanted to replace.
        replaces: RecordGeneration,
    },
    /// The event neither publishes nor withdraws a record.
    NotPublished,
}

/// The records in force.
///
/// Clones share unchanged tables, so that every new state can be published as a clone.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigState {
    tables: BTreeMap<RecordKind, Arc<RecordTable>>,
    progress: Arc<ProgressTable>,
    applied: LogOffset,
}

impl ConfigState {
    /// Returns the record of a key, if one is in force.
    pub fn record(&self, key: &RecordKey) -> Option<&OperatorRecord> {
        self.entry(key)?.record.as_ref()
    }

    /// Returns all records of a kind in force, in the order of their names.
    pub fn records(&self, kind: RecordKind) -> impl Iterator<Item = &OperatorRecord> {
        self.entries(kind).filter_map(|entry| entry.record.as_ref())
    }

    /// Returns the records that are held because their schema version is unknown.
    pub fn held(&self) -> impl Iterator<Item = &HeldRecord> {
        RecordKind::all()
            .flat_map(|kind| self.entries(kind))
            .filter_map(|entry| entry.held.as_ref())
    }

    /// Returns the generation that the next publication of a key has to replace, or zero.
    pub fn generation(&self, key: &RecordKey) -> RecordGeneration {
        self.entry(key).map_or_else(Default::default, |e| e.latest)
    }

    /// Returns the progress of jobs.
    pub fn progress(&self) -> &ProgressTable {
        &self.progress
    }

    /// Returns the table of a kind, if it has any record.
    pub fn table(&self, kind: RecordKind) -> Option<&RecordTable> {
        self.tables.get(&kind).map(AsRef::as_ref)
    }

    /// Returns the offset after the last entry that was applied.
    pub fn applied(&self) -> LogOffset {
        self.applied
    }

    /// Records that all entries before an offset have been read.
    pub fn advance(&mut self, end: LogOffset) {
        self.applied = self.applied.max(end);
    }

    /// Applies one event of the entry at `offset`.
    pub fn apply(&mut self, offset: LogOffset, event: &ConfigEvent) -> PublishVerdict {
        self.advance(offset.next());
        match event {
            ConfigEvent::Publish {
                key,
                schema,
                replaces,
                body,
            } => {
                if let Some(conflict) = self.conflict(key, *replaces) {
                    return conflict;
                }
                let generation = self.table_mut(key.kind).publish(key, *schema, body);
                match body {
                    RecordBody::Known(_) => PublishVerdict::Accepted(generation),
                    RecordBody::Held(_) => PublishVerdict::Held(generation),
                }
            }
            ConfigEvent::Withdraw { key, replaces } => {
                if let Some(conflict) = self.conflict(key, *replaces) {
                    return conflict;
                }
                PublishVerdict::Accepted(self.withdraw(key))
            }
            ConfigEvent::Progress {
                shard,
                job,
                generation,
                completed,
                failed,
            } => {
                let count = EndedCount {
                    completed: *completed,
                    failed: *failed,
                };
                self.report(*shard, job, *generation, count);
                PublishVerdict::NotPublished
            }
            ConfigEvent::Snapshot(_) => PublishVerdict::NotPublished,
        }
    }

    /// Restores the state at an offset from its tables and the progress of jobs.
    pub fn restore(
        tables: BTreeMap<RecordKind, RecordTable>,
        progress: ProgressTable,
        applied: LogOffset,
    ) -> Self {
        Self {
            tables: tables
                .into_iter()
                .map(|(kind, table)| (kind, Arc::new(table)))
                .collect(),
            progress: Arc::new(progress),
            applied,
        }
    }

    /// Raises the generation above which new records of a kind start.
    pub fn raise_floor(&mut self, kind: RecordKind, floor: RecordGeneration) {
        self.table_mut(kind).raise_floor(floor);
    }

    fn conflict(&self, key: &RecordKey, replaces: RecordGeneration) -> Option<PublishVerdict> {
        let current = self.generation(key);
        (current != replaces).then_some(PublishVerdict::Conflict { current, replaces })
    }

    fn withdraw(&mut self, key: &RecordKey) -> RecordGeneration {
        if key.kind == RecordKind::Job {
            Arc::make_mut(&mut self.progress).forget(&key.name);
        }
        self.table_mut(key.kind).withdraw(&key.name)
    }

    /// Adds a report of progress, and removes the job once all of its tasks have ended.
    fn report(
        &mut self,
        shard: ShardId,
        key: &RecordKey,
        generation: RecordGeneration,
        count: EndedCount,
    ) {
        let Some(record) = self.record(key) else {
            return;
        };
        let RecordSpec::Job(job) = &record.spec else {
            return;
        };
        if record.generation != generation {
            return;
        }
        let tasks = job.tasks;
        let progress = Arc::make_mut(&mut self.progress);
        let ended = progress.report(&key.name, generation, shard, count);
        if ended.total() < tasks {
            return;
        }
        progress.finish(FinishedJob {
            name: key.name.clone(),
            generation,
            ended,
        });
        self.table_mut(RecordKind::Job).withdraw(&key.name);
        self.drop_cancellation(key, generation);
    }

    /// Removes the cancellation of a job that has finished.
    fn drop_cancellation(&mut self, job: &RecordKey, generation: RecordGeneration) {
        let key = RecordKey {
            kind: RecordKind::Cancel,
            name: job.name.clone(),
        };
        let is_obsolete = self.record(&key).is_some_and(|record| {
            matches!(&record.spec, RecordSpec::Cancel(cancel) if cancel.generation <= generation)
        });
        if is_obsolete {
            self.table_mut(RecordKind::Cancel).withdraw(&key.name);
        }
    }

    fn entry(&self, key: &RecordKey) -> Option<&RecordEntry> {
        self.tables.get(&key.kind)?.entry(&key.name)
    }

    fn entries(&self, kind: RecordKind) -> impl Iterator<Item = &RecordEntry> {
        self.tables
            .get(&kind)
            .into_iter()
            .flat_map(|table| table.entries())
            .map(|(_, entry)| entry)
    }

    fn table_mut(&mut self, kind: RecordKind) -> &mut RecordTable {
        Arc::make_mut(self.tables.entry(kind).or_default())
    }
}
