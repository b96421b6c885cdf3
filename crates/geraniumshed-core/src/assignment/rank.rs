//! The steps that are ready to start, and the order in which they are placed.

use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, whole_millis};

use crate::job::{JobEntry, JobId, Occurrence, QueuePolicy, TaskEntry, TaskKey};

/// The rank of a ready step. Steps are placed in ascending order: by priority, steps of jobs that
/// can still meet their objective before late ones, and then by least slack.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepRank {
    pub(super) priority: u32,
    /// Whether the job can no longer meet its objective.
    pub(super) is_late: bool,
    /// The latest start of the step with which the job meets its objective, in milliseconds of Unix
    /// time.
    pub(super) latest_start_unix_ms: u64,
}

/// A step that is ready: all steps before it are done, and it has startable tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyStep {
    pub(super) rank: StepRank,
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u32,
}

impl ReadyStep {
    /// Creates a ready step without a rank, for a query about a single task.
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

/// Returns the rank of a step.
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

/// Returns the time that an occurrence of a job may take to meet the queue's objective, saturating on
/// overflow.
pub(super) fn allowed_time(job: &JobEntry, policy: &QueuePolicy) -> Duration {
    policy.allowed_time(job.longest_chain())
}

/// Returns the indices of the ready steps of an occurrence.
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

/// Returns the keys of a step's startable tasks.
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
