//! The state of one task in its shard's log.

use geraniumshed_model::prelude::{
    AttemptNumber, BootId, CheckpointId, ShardId, ShardTerm, TaskId, VmId,
};

/// One attempt of a task that is to run, or may run, on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct TaskPlacement {
    /// The attempt.
    pub attempt: AttemptNumber,
    /// The worker.
    pub worker: VmId,
    /// The only boot of the worker on which the attempt may start.
    pub boot: BootId,
    /// The term under which the placement was appended.
    pub term: ShardTerm,
}

/// The phase of a task in its shard's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub enum TaskPhase {
    /// The task waits to be placed, or has attempts that run or may run.
    #[default]
    Open,
    /// It is unknown whether the last attempt ran; an operator has to decide.
    Unknown,
    /// The task ended with success, or an operator counted it as completed.
    Completed,
    /// The task was cancelled.
    Cancelled,
    /// The task moved to another shard.
    MovedOut {
        /// The shard that the task moved to.
        to: ShardId,
    },
}

impl TaskPhase {
    /// Returns whether the task never runs again, in any shard.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Completed | Self::Cancelled)
    }
}

/// The state of one task in its shard's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TaskEntry {
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
    /// The attempts that run or may run: at most one of a batch task.
    pub placements: Vec<TaskPlacement>,
}

impl TaskEntry {
    /// Returns the placement of an attempt, unless it ended.
    pub fn placement(&self, attempt: AttemptNumber) -> Option<&TaskPlacement> {
        self.placements
            .iter()
            .find(|placement| placement.attempt == attempt)
    }

    /// Returns whether the log allows a new attempt to be placed.
    pub fn is_waiting(&self) -> bool {
        self.phase == TaskPhase::Open && self.placements.is_empty()
    }
}

/// Returns whether a task is a replica of a service; the ids of replicas have generation 0.
pub fn is_replica(task: &TaskId) -> bool {
    task.generation.0 == 0
}
