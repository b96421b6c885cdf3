//! The stored form of a job's progress.

use geraniumshed_core::job::{StoredJob, StoredOccurrence, StoredTask, TaskStage, WorkerId};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::call::JobPhaseWire;

/// The progress of a job, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredJobWire {
    phase: JobPhaseWire,
    ended_unix_ms: u64,
    ended_occurrences: u32,
    occurrences: Vec<OccurrenceWire>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct OccurrenceWire {
    number: u32,
    tasks: Vec<TaskWire>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TaskWire {
    stage: StageWire,
    run: u32,
    failures: u32,
    checkpoint: Option<SmolStr>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum StageWire {
    Waiting,
    Placed(SmolStr),
    Done,
}

impl From<StoredJob> for StoredJobWire {
    fn from(stored: StoredJob) -> Self {
        Self {
            phase: stored.phase.into(),
            ended_unix_ms: stored.ended_unix_ms,
            ended_occurrences: stored.ended_occurrences,
            occurrences: stored
                .occurrences
                .into_iter()
                .map(|one| OccurrenceWire {
                    number: one.number,
                    tasks: one.tasks.into_iter().map(TaskWire::from).collect(),
                })
                .collect(),
        }
    }
}

impl From<StoredJobWire> for StoredJob {
    fn from(wire: StoredJobWire) -> Self {
        Self {
            phase: wire.phase.into(),
            ended_unix_ms: wire.ended_unix_ms,
            ended_occurrences: wire.ended_occurrences,
            occurrences: wire
                .occurrences
                .into_iter()
                .map(|one| StoredOccurrence {
                    number: one.number,
                    tasks: one.tasks.into_iter().map(StoredTask::from).collect(),
                })
                .collect(),
        }
    }
}

impl From<StoredTask> for TaskWire {
    fn from(task: StoredTask) -> Self {
        let stage = match task.stage {
            TaskStage::Waiting => StageWire::Waiting,
            TaskStage::Placed(worker) => StageWire::Placed(worker.0),
            TaskStage::Done => StageWire::Done,
        };
        Self {
            stage,
            run: task.run,
            failures: task.failures,
            checkpoint: task.checkpoint,
        }
    }
}

impl From<TaskWire> for StoredTask {
    fn from(wire: TaskWire) -> Self {
        let stage = match wire.stage {
            StageWire::Waiting => TaskStage::Waiting,
            StageWire::Placed(worker) => TaskStage::Placed(WorkerId(worker)),
            StageWire::Done => TaskStage::Done,
        };
        Self {
            stage,
            run: wire.run,
            failures: wire.failures,
            checkpoint: wire.checkpoint,
        }
    }
}
