//! The serialized form of a task's key.

use geraniumshed_core::job::{JobId, TaskKey};
use serde::{Deserialize, Serialize};

/// A task, by its job, occurrence, step and index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct TaskKeyWire {
    job: u64,
    occurrence: u32,
    step: u32,
    index: u32,
}

impl From<TaskKey> for TaskKeyWire {
    fn from(task: TaskKey) -> Self {
        Self {
            job: task.job.0,
            occurrence: task.occurrence,
            step: task.step,
            index: task.index,
        }
    }
}

impl From<TaskKeyWire> for TaskKey {
    fn from(wire: TaskKeyWire) -> Self {
        Self {
            job: JobId(wire.job),
            occurrence: wire.occurrence,
            step: wire.step,
            index: wire.index,
        }
    }
}
