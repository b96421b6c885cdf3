//! Jobs as clients submit them.

use std::time::Duration;

use geraniumshed_model::prelude::ResourceSize;
use smol_str::SmolStr;

use super::id::QueueName;

/// The maximum number of tasks of a job, which bounds the memory that it takes.
pub const MAX_JOB_TASKS: u64 = 20_000;

/// A job as its client submitted it.
#[derive(Debug, Clone, PartialEq)]
pub struct JobRequest {
    /// The queue that the job is submitted to.
    pub queue: QueueName,
    /// An opaque text of the client, which is passed to the worker with each start.
    pub payload: SmolStr,
    /// The steps in topological order: each one follows the steps that it depends on.
    pub steps: Vec<StepRequest>,
    /// When the job repeats, if it does.
    pub repeat: Option<RepeatPlan>,
    /// When the job was first submitted, in milliseconds of Unix time.
    pub submitted_unix_ms: u64,
}

/// The schedule of a repeating job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RepeatPlan {
    /// When the first occurrence is due, in milliseconds of Unix time.
    pub first_unix_ms: u64,
    /// The time from one occurrence to the next.
    pub interval: Duration,
    /// The number of occurrences.
    pub count: u32,
}

/// A step: a set of equal tasks that may run in parallel.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct StepRequest {
    /// The number of tasks.
    pub task_count: u32,
    /// The resources that one task needs.
    pub size: ResourceSize,
    /// The client's estimate of one task's run time.
    pub estimate: Duration,
    /// The indices of the steps that must be done first.
    pub after: Vec<u32>,
    /// Whether tasks save checkpoints and can resume from them.
    pub has_checkpoints: bool,
    /// Whether the tasks are a gang, which runs all together or not at all.
    pub is_gang: bool,
    /// Whether the tasks run faster within a single rack.
    pub wants_one_rack: bool,
    /// A label that a worker must have.
    pub required_label: Option<SmolStr>,
    /// The rack near the step's data.
    pub data_rack: Option<SmolStr>,
    /// The maximum number of tasks of the step that one worker may run at the same time.
    pub worker_limit: Option<u32>,
    /// Whether several copies of a task may run at the same time.
    pub allows_copies: bool,
    /// Whether tasks run until the job is cancelled.
    pub is_long_running: bool,
    /// The image that the tasks execute. Tasks of the same image are assumed to behave alike.
    pub image: Option<SmolStr>,
    /// The tail latency that long-running tasks must stay below.
    pub latency_target: Option<Duration>,
    /// Whether the tasks use only processor time that other tasks leave idle.
    pub is_best_effort: bool,
    /// The maximum number of long-running tasks that the scheduler may make unavailable at once.
    pub unavailable_limit: Option<u32>,
}

impl StepRequest {
    /// Returns whether a task that is held up by its worker may be stopped and placed elsewhere at any
    /// time.
    pub fn can_be_moved(&self) -> bool {
        !self.is_long_running && !self.is_gang && !self.is_best_effort
    }

    /// Returns the resources that one task reserves on its worker. Best-effort tasks reserve no
    /// processor time.
    pub fn reserved_size(&self) -> ResourceSize {
        let mut size = self.size;
        if self.is_best_effort {
            size.processors.0 = 0;
        }
        size
    }

    /// Returns the estimated work of one task in processor-seconds.
    pub fn task_work(&self) -> f64 {
        f64::from(self.size.processors.0) / 1000.0 * self.estimate.as_secs_f64()
    }
}
