//! What a shard's log says of one task.

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
    /// The boot of the worker on which alone the attempt may start.
    pub boot: BootId,
    /// The term under which the placement was appended.
    pub term: ShardTerm,
}

/// The state of a task in its shard's log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub enum TaskPhase {
    /// The task is to be run, or its attempts run.
    #[default]
    Open,
    /// Nobody can tell whether the last attempt ran; an operator decides.
    Unknown,
    /// The task did all of its work.
    Completed,
    /// The task was cancelled.
    Cancelled,
    /// The task went to another shard.
    MovedOut {
        /// The shard that takes the task.
        to: ShardId,
    },
}

impl TaskPhase {
    /// Tells whether the task never runs again, in any shard.
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Completed | Self::Cancelled)
    }
}

/// What a shard's log says of one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct TaskEntry {
    /// The state of the task.
    pub phase: TaskPhase,
    /// The attempts taken so far.
    pub attempts: AttemptNumber,
    /// The attempts that ended with an error.
    pub failures: u32,
    /// The moves between shards so far.
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

    /// Tells whether a next attempt may be placed by what the log says.
    pub fn is_waiting(&self) -> bool {
        self.phase == TaskPhase::Open && self.placements.is_empty()
    }
}

/// Tells whether a task is a replica of a service, which by its id belongs to no generation.
pub fn is_replica(task: &TaskId) -> bool {
    task.generation.0 == 0
}
