//! The state of a shard's tasks, computed from the shard's log stream alone.

use std::collections::{BTreeMap, BTreeSet};

use geraniumshed_model::prelude::{
    AttemptNumber, CheckpointId, LogBatch, LogOffset, RecordGeneration, RecordName, ShardEvent,
    ShardId, ShardTerm, TaskId, TaskOutcome, VmId,
};

use super::settings::ProtocolRules;
use super::task_entry::{TaskEntry, TaskPhase, TaskPlacement, is_replica};

/// The effect of an event on the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StateChange {
    /// A new owner's barrier took effect.
    Opened,
    /// A placement took effect.
    Placed(TaskId, AttemptNumber),
    /// A placement had no effect: its attempt number is used, or the task can't be placed.
    NotPlaced(TaskId, AttemptNumber, VmId),
    /// An attempt ended.
    Ended(TaskId, AttemptNumber, VmId),
    /// The outcome of a task is unknown, and an operator has to resolve it.
    Unknown(TaskId),
    /// An operator resolved a task whose outcome was unknown.
    Resolved(TaskId),
    /// A task moved to another shard.
    MovedOut(TaskId),
    /// A task moved in from another shard.
    MovedIn(TaskId),
    /// The open tasks of a job's generation are cancelled.
    Cancelled(RecordName, RecordGeneration),
}

/// The state of a shard's tasks.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ShardState {
    pub(super) shard: ShardId,
    pub(super) term: ShardTerm,
    pub(super) applied: LogOffset,
    pub(super) config_applied: LogOffset,
    pub(super) tasks: BTreeMap<TaskId, TaskEntry>,
    pub(super) cancelled: BTreeSet<(RecordName, RecordGeneration)>,
}

impl ShardState {
    /// Creates the state of a shard whose stream is empty.
    pub fn new(shard: ShardId) -> Self {
        Self {
            shard,
            term: ShardTerm::default(),
            applied: LogOffset::default(),
            config_applied: LogOffset::default(),
            tasks: BTreeMap::new(),
            cancelled: BTreeSet::new(),
        }
    }

    /// Returns the highest term that opened the shard.
    pub fn term(&self) -> ShardTerm {
        self.term
    }

    /// Returns the offset after the last entry that was applied.
    pub fn applied(&self) -> LogOffset {
        self.applied
    }

    /// Returns the offset up to which the `config` stream must be known before the state is used.
    pub fn config_applied(&self) -> LogOffset {
        self.config_applied
    }

    /// Returns the state of a task, if the log mentions it.
    pub fn task(&self, task: &TaskId) -> Option<&TaskEntry> {
        self.tasks.get(task)
    }

    /// Returns all tasks that the log mentions, in the order of their ids.
    pub fn tasks(&self) -> impl Iterator<Item = (&TaskId, &TaskEntry)> {
        self.tasks.iter()
    }

    /// Returns the tasks of one generation of a record that the log mentions.
    pub fn tasks_of(
        &self,
        record: &RecordName,
        generation: RecordGeneration,
    ) -> impl Iterator<Item = (&TaskId, &TaskEntry)> {
        let id = |index| TaskId {
            record: record.clone(),
            generation,
            index,
        };
        self.tasks.range(id(0)..=id(u32::MAX))
    }

    /// Returns whether the log shows a generation of a job as cancelled.
    pub fn is_cancelled(&self, job: &RecordName, generation: RecordGeneration) -> bool {
        self.cancelled.contains(&(job.clone(), generation))
    }

    /// Applies the entry at an offset and returns what changed.
    ///
    /// An entry whose term differs from that of the last barrier has no effect, except for tasks
    /// that move in, which other shards append.
    pub fn apply(
        &mut self,
        offset: LogOffset,
        batch: &LogBatch<ShardEvent>,
        rules: ProtocolRules,
    ) -> Vec<StateChange> {
        self.applied = offset.next();
        let mut changes = Vec::new();
        for event in &batch.events {
            if matches!(event, ShardEvent::Opened) && batch.term > self.term {
                self.term = batch.term;
            }
            let moved_in = matches!(event, ShardEvent::MovedIn { .. });
            if !moved_in && rules.check_term && batch.term != self.term {
                continue;
            }
            changes.extend(self.apply_event(batch.term, event));
        }
        changes
    }

    fn apply_event(&mut self, term: ShardTerm, event: &ShardEvent) -> Option<StateChange> {
        match event {
            ShardEvent::Opened => Some(StateChange::Opened),
            ShardEvent::Placed {
                task,
                attempt,
                worker,
                boot,
            } => {
                let placement = TaskPlacement {
                    attempt: *attempt,
                    worker: worker.clone(),
                    boot: *boot,
                    term,
                };
                Some(self.place(task, placement))
            }
            ShardEvent::Ended {
                task,
                attempt,
                outcome,
            } => self.end(task, *attempt, outcome),
            ShardEvent::Unknown { task, attempt } => self.mark_unknown(task, *attempt),
            ShardEvent::Resolved {
                task,
                attempt,
                rerun,
            } => self.resolve(task, *attempt, *rerun),
            ShardEvent::Cancelled { job, generation } => Some(self.cancel(job, *generation)),
            ShardEvent::MovedOut {
                task,
                to,
                hop,
                attempt,
                ..
            } => self.move_out(task, *to, *hop, *attempt),
            ShardEvent::MovedIn {
                task,
                hop,
                attempt,
                checkpoint,
                ..
            } => self.move_in(task, *hop, *attempt, checkpoint.clone()),
            ShardEvent::Snapshot(_) => None,
        }
    }

    fn place(&mut self, task: &TaskId, placement: TaskPlacement) -> StateChange {
        let cancelled = self.is_cancelled(&task.record, task.generation);
        let entry = self.tasks.entry(task.clone()).or_default();
        let room = is_replica(task) || entry.placements.is_empty();
        let open = entry.phase == TaskPhase::Open && !cancelled;
        let attempt = placement.attempt;
        if !open || !room || attempt <= entry.attempts {
            return StateChange::NotPlaced(task.clone(), attempt, placement.worker);
        }
        entry.attempts = attempt;
        entry.placements.push(placement);
        StateChange::Placed(task.clone(), attempt)
    }

    fn end(
        &mut self,
        task: &TaskId,
        attempt: AttemptNumber,
        outcome: &TaskOutcome,
    ) -> Option<StateChange> {
        let cancelled = self.is_cancelled(&task.record, task.generation);
        let entry = self.tasks.get_mut(task)?;
        let index = entry
            .placements
            .iter()
            .position(|placement| placement.attempt == attempt)?;
        let placement = entry.placements.remove(index);
        match outcome {
            TaskOutcome::Completed if !is_replica(task) => entry.phase = TaskPhase::Completed,
            TaskOutcome::Failed { .. } => entry.failures += 1,
            TaskOutcome::Stopped { checkpoint } => {
                if checkpoint.is_some() {
                    entry.checkpoint.clone_from(checkpoint);
                }
            }
            TaskOutcome::Completed | TaskOutcome::NotStarted { .. } => {}
        }
        if cancelled && entry.phase == TaskPhase::Open {
            entry.phase = TaskPhase::Cancelled;
        }
        Some(StateChange::Ended(task.clone(), attempt, placement.worker))
    }

    fn mark_unknown(&mut self, task: &TaskId, attempt: AttemptNumber) -> Option<StateChange> {
        let entry = self.tasks.get_mut(task)?;
        if entry.phase != TaskPhase::Open || entry.attempts != attempt {
            return None;
        }
        entry.phase = TaskPhase::Unknown;
        entry.placements.clear();
        Some(StateChange::Unknown(task.clone()))
    }

    fn resolve(
        &mut self,
        task: &TaskId,
        attempt: AttemptNumber,
        rerun: bool,
    ) -> Option<StateChange> {
        let cancelled = self.is_cancelled(&task.record, task.generation);
        let entry = self.tasks.get_mut(task)?;
        if entry.phase != TaskPhase::Unknown || entry.attempts != attempt {
            return None;
        }
        entry.phase = match (rerun, cancelled) {
            (true, false) => TaskPhase::Open,
            (true, true) => TaskPhase::Cancelled,
            (false, _) => TaskPhase::Completed,
        };
        Some(StateChange::Resolved(task.clone()))
    }

    fn cancel(&mut self, job: &RecordName, generation: RecordGeneration) -> StateChange {
        self.cancelled.insert((job.clone(), generation));
        let first = TaskId {
            record: job.clone(),
            generation,
            index: 0,
        };
        for (task, entry) in self.tasks.range_mut(first..) {
            if task.record != *job || task.generation != generation {
                break;
            }
            if entry.is_waiting() {
                entry.phase = TaskPhase::Cancelled;
            }
        }
        StateChange::Cancelled(job.clone(), generation)
    }

    fn move_out(
        &mut self,
        task: &TaskId,
        to: ShardId,
        hop: u32,
        attempt: AttemptNumber,
    ) -> Option<StateChange> {
        let cancelled = self.is_cancelled(&task.record, task.generation);
        let entry = self.tasks.entry(task.clone()).or_default();
        let current = entry.attempts == attempt && entry.hop < hop;
        if !current || !entry.is_waiting() || cancelled {
            return None;
        }
        entry.hop = hop;
        entry.phase = TaskPhase::MovedOut { to };
        Some(StateChange::MovedOut(task.clone()))
    }

    fn move_in(
        &mut self,
        task: &TaskId,
        hop: u32,
        attempt: AttemptNumber,
        checkpoint: Option<CheckpointId>,
    ) -> Option<StateChange> {
        let cancelled = self.is_cancelled(&task.record, task.generation);
        let entry = self.tasks.entry(task.clone()).or_default();
        if hop <= entry.hop {
            return None;
        }
        entry.hop = hop;
        entry.attempts = attempt;
        entry.checkpoint = checkpoint;
        entry.phase = if cancelled {
            TaskPhase::Cancelled
        } else {
            TaskPhase::Open
        };
        Some(StateChange::MovedIn(task.clone()))
    }
}
