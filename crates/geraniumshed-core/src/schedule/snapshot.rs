//! Snapshots of a shard's state, which replace the log entries that they cover.

use std::collections::BTreeSet;

use geraniumshed_model::prelude::{
    AttemptNumber, CheckpointId, LogOffset, RecordGeneration, RecordName, ShardId, ShardTerm,
    TaskId,
};

use super::shard_state::ShardState;
use super::task_entry::{TaskEntry, TaskPhase, TaskPlacement};
use crate::state::ConfigState;
use geraniumshed_model::prelude::{RecordKey, RecordKind};

/// A snapshot of a shard's state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShardSnapshot {
    /// The shard.
    pub shard: ShardId,
    /// The highest term that opened the shard.
    pub term: ShardTerm,
    /// The offset after the last entry that the snapshot covers.
    pub applied: LogOffset,
    /// The offset up to which the `config` stream was known when the snapshot was taken.
    pub config_applied: LogOffset,
    /// The generations of jobs that are cancelled.
    pub cancelled: Vec<(RecordName, RecordGeneration)>,
    /// The tasks.
    pub tasks: Vec<TaskSnapshot>,
}

/// The part of a snapshot that holds one task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TaskSnapshot {
    /// The task.
    pub task: TaskId,
    /// The phase of the task.
    pub phase: TaskPhase,
    /// The number of the last attempt.
    pub attempts: AttemptNumber,
    /// The number of attempts that ended with an error.
    pub failures: u32,
    /// The number of moves between shards so far.
    pub hop: u32,
    /// The checkpoint from which the next attempt resumes.
    pub checkpoint: Option<CheckpointId>,
    /// The attempts that run or may run.
    pub placements: Vec<TaskPlacement>,
}

impl ShardState {
    /// Takes a snapshot, without tasks of records that are no longer in force, unless an attempt
    /// of theirs may still run.
    ///
    /// A reader must not use the snapshot before it has read the `config` stream as far as
    /// `config`. Otherwise, the omitted tasks would seem never to have run.
    pub fn to_snapshot(&self, config: &ConfigState) -> ShardSnapshot {
        let kept = |task: &TaskId, entry: &TaskEntry| {
            !entry.placements.is_empty() || is_in_force(config, task)
        };
        let cancelled = self.cancelled.iter();
        ShardSnapshot {
            shard: self.shard,
            term: self.term,
            applied: self.applied,
            config_applied: config.applied().max(self.config_applied),
            cancelled: cancelled
                .filter(|(job, generation)| job_generation(config, job) == Some(*generation))
                .cloned()
                .collect(),
            tasks: self
                .tasks
                .iter()
                .filter(|(task, entry)| kept(task, entry))
                .map(|(task, entry)| TaskSnapshot::new(task, entry))
                .collect(),
        }
    }

    /// Restores the state from a snapshot.
    pub fn from_snapshot(snapshot: ShardSnapshot) -> Self {
        let tasks = snapshot.tasks.into_iter().map(TaskSnapshot::into_entry);
        Self {
            shard: snapshot.shard,
            term: snapshot.term,
            applied: snapshot.applied,
            config_applied: snapshot.config_applied,
            tasks: tasks.collect(),
            cancelled: BTreeSet::from_iter(snapshot.cancelled),
        }
    }
}

impl TaskSnapshot {
    fn new(task: &TaskId, entry: &TaskEntry) -> Self {
        Self {
            task: task.clone(),
            phase: entry.phase.clone(),
            attempts: entry.attempts,
            failures: entry.failures,
            hop: entry.hop,
            checkpoint: entry.checkpoint.clone(),
            placements: entry.placements.clone(),
        }
    }

    fn into_entry(self) -> (TaskId, TaskEntry) {
        let entry = TaskEntry {
            phase: self.phase,
            attempts: self.attempts,
            failures: self.failures,
            hop: self.hop,
            checkpoint: self.checkpoint,
            placements: self.placements,
        };
        (self.task, entry)
    }
}

fn is_in_force(config: &ConfigState, task: &TaskId) -> bool {
    if task.generation == RecordGeneration::default() {
        let key = RecordKey {
            kind: RecordKind::Service,
            name: task.record.clone(),
        };
        return config.record(&key).is_some();
    }
    job_generation(config, &task.record) == Some(task.generation)
}

fn job_generation(config: &ConfigState, job: &RecordName) -> Option<RecordGeneration> {
    let key = RecordKey {
        kind: RecordKind::Job,
        name: job.clone(),
    };
    config.record(&key).map(|record| record.generation)
}
