//! Which steps can start, and the order in which they get workers.

use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, whole_millis};

use crate::job::{JobEntry, JobId, Occurrence, QueuePolicy, TaskEntry, TaskKey};

/// The place of a step among all steps whose turn has come; the smallest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepRank {
    pub(super) priority: u32,
    /// Whether the job can't meet its objective any more.
    pub(super) is_late: bool,
    /// When the step has to start for the job to be in time, in milliseconds of Unix time.
    pub(super) latest_start_unix_ms: u64,
}

/// A step with tasks that may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyStep {
    pub(super) rank: StepRank,
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u32,
}

impl ReadyStep {
    /// Describes the step of a task outside of any order.
    pub(super) fn unranked(key: TaskKey) -> Self {
        Self {
            rank: StepRank {
                priority: 0,
                is_late: false,
                latest_start_unix_ms: 0,
            },
            job: key.job,
            occurrence: key.occurrence,
            step: key.step,
        }
    }
}

/// Returns the place of a step among all whose turn has come.
pub(super) fn step_rank(
    job: &JobEntry,
    policy: &QueuePolicy,
    occurrence: u32,
    step: u32,
    now_unix_ms: u64,
) -> StepRank {
    let allowed = allowed_time(job, policy);
    let latest_start_unix_ms = job
        .due_unix_ms(occurrence)
        .saturating_add(whole_millis(allowed.saturating_sub(job.chain_from(step))));
    StepRank {
        priority: policy.priority,
        is_late: latest_start_unix_ms < now_unix_ms,
        latest_start_unix_ms,
    }
}

/// Returns the time that a job may take to be in time.
pub(super) fn allowed_time(job: &JobEntry, policy: &QueuePolicy) -> Duration {
    job.longest_chain().mul_f64(policy.stretch.max(1.0)) + policy.latency_objective
}

/// Returns the steps of an occurrence that have tasks to start.
pub(super) fn ready_indices<'a>(
    job: &'a JobEntry,
    occurrence: &'a Occurrence,
    now: TimePoint,
) -> impl Iterator<Item = u32> + 'a {
    (0u32..)
        .zip(job.request.steps.iter().zip(&occurrence.steps))
        .filter(move |(_, (step, tasks))| {
            tasks.iter().any(|task| task.is_startable(now)) && occurrence.is_step_due(step)
        })
        .map(|(index, _)| index)
}

/// Returns the tasks of a step that can start.
pub(super) fn startable_keys(job: &JobEntry, ready: ReadyStep, now: TimePoint) -> Vec<TaskKey> {
    let tasks = job
        .occurrence(ready.occurrence)
        .and_then(|one| one.steps.get(ready.step as usize));
    let is_ready = |(_, task): &(u32, &TaskEntry)| task.is_startable(now);
    (0u32..)
        .zip(tasks.into_iter().flatten())
        .filter(is_ready)
        .map(|(index, _)| TaskKey {
            job: ready.job,
            occurrence: ready.occurrence,
            step: ready.step,
            index,
        })
        .collect()
}
