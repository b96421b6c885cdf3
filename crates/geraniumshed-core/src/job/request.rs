//! Jobs as clients hand them in.

use std::time::Duration;

use geraniumshed_model::prelude::ResourceSize;
use smol_str::SmolStr;

use super::id::QueueName;

/// A job as its client handed it in.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRequest {
    /// The queue.
    pub queue: QueueName,
    /// The client's text that every start carries on to the worker.
    pub payload: SmolStr,
    /// The steps, each of which comes after those that it depends on.
    pub steps: Vec<StepRequest>,
    /// When the steps run, for jobs with occurrences.
    pub repeat: Option<RepeatPlan>,
    /// When the job was first handed in, in milliseconds of Unix time.
    pub submitted_unix_ms: u64,
}

/// The occurrences of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatPlan {
    /// When the first occurrence is due, in milliseconds of Unix time.
    pub first_unix_ms: u64,
    /// The time from one occurrence to the next.
    pub interval: Duration,
    /// The number of occurrences.
    pub count: u32,
}

/// A step: equal tasks that may run at the same time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StepRequest {
    /// The number of tasks.
    pub task_count: u32,
    /// What one task needs.
    pub size: ResourceSize,
    /// The client's estimate of one task's run time.
    pub estimate: Duration,
    /// The steps whose tasks all have to be done first.
    pub after: Vec<u32>,
    /// Whether tasks save their progress and can resume from it.
    pub has_checkpoints: bool,
    /// Whether all tasks run together or not at all.
    pub is_gang: bool,
    /// Whether the tasks are slower when they span racks.
    pub wants_one_rack: bool,
    /// A label that a worker must have.
    pub required_label: Option<SmolStr>,
    /// The rack near the step's data.
    pub data_rack: Option<SmolStr>,
    /// The number of tasks of the step that one worker may run at the same time.
    pub worker_limit: Option<u32>,
    /// Whether copies of a task may run side by side.
    pub allows_copies: bool,
    /// Whether tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<SmolStr>,
    /// The tail latency that long-running tasks have to stay below.
    pub latency_target: Option<Duration>,
    /// Whether tasks use only processor time that others leave idle.
    pub is_best_effort: bool,
    /// The number of long-running tasks that the scheduler may take away at the same time.
    pub unavailable_limit: Option<u32>,
}

impl StepRequest {
    /// Returns what one task reserves on its worker.
    pub fn reserved_size(&self) -> ResourceSize {
        let mut size = self.size;
        if self.is_best_effort {
            size.processors.0 = 0;
        }
        size
    }
}
