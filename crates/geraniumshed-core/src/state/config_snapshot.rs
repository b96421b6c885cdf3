//! Conversion of the records in force to a snapshot and back.

use std::collections::BTreeMap;

use geraniumshed_model::config_snapshot::{
    ConfigSnapshot, FinishedSnapshot, JobSnapshot, NameSnapshot,
};
use geraniumshed_model::prelude::{RecordKey, RecordKind, RecordName};

use super::config::ConfigState;
use super::job_progress::{EndedCount, FinishedJob, JobProgress, ProgressTable};
use super::record_table::{HeldRecord, RecordEntry, RecordTable};

impl ConfigState {
    /// Returns a snapshot of the state.
    pub fn to_snapshot(&self) -> ConfigSnapshot {
        let tables = || RecordKind::all().filter_map(|kind| Some((kind, self.table(kind)?)));
        ConfigSnapshot {
            applied: self.applied(),
            names: tables()
                .flat_map(|(kind, table)| {
                    table
                        .entries()
                        .map(move |(name, entry)| (kind, name.clone(), entry))
                })
                .map(|(kind, name, entry)| name_snapshot(RecordKey { kind, name }, entry))
                .collect(),
            floors: tables()
                .map(|(kind, table)| (kind, table.floor()))
                .collect(),
            jobs: self
                .progress()
                .jobs()
                .map(|(name, job)| JobSnapshot {
                    name: name.clone(),
                    generation: job.generation,
                    shards: job
                        .shards
                        .iter()
                        .map(|(shard, count)| (*shard, count.completed, count.failed))
                        .collect(),
                })
                .collect(),
            finished: self
                .progress()
                .finished()
                .map(|job| FinishedSnapshot {
                    name: job.name.clone(),
                    generation: job.generation,
                    completed: job.ended.completed,
                    failed: job.ended.failed,
                })
                .collect(),
        }
    }

    /// Restores the state from a snapshot.
    pub fn from_snapshot(snapshot: ConfigSnapshot) -> Self {
        let mut tables: BTreeMap<RecordKind, RecordTable> = BTreeMap::new();
        for (kind, floor) in snapshot.floors {
            tables.entry(kind).or_default().raise_floor(floor);
        }
        for name in snapshot.names {
            let table = tables.entry(name.key.kind).or_default();
            let (key, entry) = record_entry(name);
            table.restore(key.name, entry);
        }
        let mut progress = ProgressTable::default();
        for job in snapshot.jobs {
            let (name, job) = job_progress(job);
            progress.restore(name, job);
        }
        for job in snapshot.finished {
            progress.finish(FinishedJob {
                name: job.name,
                generation: job.generation,
                ended: EndedCount {
                    completed: job.completed,
                    failed: job.failed,
                },
            });
        }
        Self::restore(tables, progress, snapshot.applied)
    }
}

fn name_snapshot(key: RecordKey, entry: &RecordEntry) -> NameSnapshot {
    NameSnapshot {
        key,
        latest: entry.latest,
        record: entry.record.clone(),
        held: entry
            .held
            .as_ref()
            .map(|held| (held.schema, held.text.clone())),
    }
}

fn record_entry(name: NameSnapshot) -> (RecordKey, RecordEntry) {
    let held = name.held.map(|(schema, text)| HeldRecord {
        key: name.key.clone(),
        schema,
        generation: name.latest,
        text,
    });
    let entry = RecordEntry {
        latest: name.latest,
        record: name.record,
        held,
    };
    (name.key, entry)
}

fn job_progress(job: JobSnapshot) -> (RecordName, JobProgress) {
    let progress = JobProgress {
        generation: job.generation,
        shards: job
            .shards
            .into_iter()
            .map(|(shard, completed, failed)| (shard, EndedCount { completed, failed }))
            .collect(),
    };
    (job.name, progress)
}
