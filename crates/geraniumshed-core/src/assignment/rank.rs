//! The steps that are ready to start, and the order in which they are placed.

use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, whole_millis};

use super::backlog::Backlog;
use crate::job::{JobEntry, JobId, Occurrence, QueuePolicy, TaskEntry, TaskKey, USABLE_FACTOR};

/// The multiple of its allowed time after which a late job claims a part of the starts. A late result
/// is worth the same until the late period is over, so that spare capacity serves most late jobs
/// before.
pub(super) const LATE_CLAIM_FACTOR: u32 = 2;

/// Whether the job of a waiting step can still meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepClass {
    /// The job is to end within its allowed time.
    InTime,
    /// The job can't meet its objective, or was let late in favour of others, but its result is
    /// still of use.
    Late,
    /// The job's late period is over.
    Expired,
}

impl StepClass {
    /// All classes, in the order in which they are placed.
    pub const ALL: [Self; 3] = [Self::InTime, Self::Late, Self::Expired];

    /// Returns the name of the class in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in-time",
            Self::Late => "late",
            Self::Expired => "expired",
        }
    }
}

/// The rank of a ready step. Steps are placed in ascending order: by priority, by their turn among
/// queues that share the capacity, by class, and then by least slack, or by age once they are late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct StepRank {
    pub(super) priority: u32,
    /// The position among the steps of all queues of the priority, or 0 if there is no contention.
    pub(super) turn: u32,
    pub(super) class: StepClass,
    /// The latest start of the step, or the due time of its occurrence if it is late, in
    /// milliseconds of Unix time.
    order_unix_ms: u64,
    /// The latest start of the step with which the job meets its objective, in milliseconds of Unix
    /// time.
    pub(super) latest_start_unix_ms: u64,
    /// Whether the step claims a part of the starts although its job is late.
    pub(super) has_late_claim: bool,
}

impl StepRank {
    /// Returns the class whose part of the starts the step uses under pressure. A late job without a
    /// claim is served with those in time, but after them.
    pub(super) fn starts_class(&self) -> StepClass {
        if self.has_late_claim {
            self.class
        } else {
            StepClass::InTime
        }
    }
}

/// A step that is ready: all steps before it are done, and it has startable tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyStep {
    pub(super) rank: StepRank,
    pub(super) job: JobId,
    pub(super) occurrence: u32,
    pub(super) step: u32,
    /// The number of startable tasks that may be placed at this rank.
    pub(super) max_tasks: u32,
}

impl ReadyStep {
    /// Creates a ready step without a rank, for a query about a single task.
    pub(super) fn unranked(key: TaskKey) -> Self {
        Self {
            rank: StepRank {
                priority: 0,
                turn: 0,
                class: StepClass::InTime,
                order_unix_ms: 0,
                latest_start_unix_ms: 0,
                has_late_claim: false,
            },
            job: key.job,
            occurrence: key.occurrence,
            step: key.step,
            max_tasks: u32::MAX,
        }
    }
}

/// Returns the latest start of a step with which its job ends within a time, in milliseconds of Unix
/// time.
pub(super) fn latest_start_within(
    job: &JobEntry,
    occurrence: u32,
    step: u32,
    limit: Duration,
) -> u64 {
    let remaining = limit.saturating_sub(job.chain_from(step));
    job.due_unix_ms(occurrence)
        .saturating_add(whole_millis(remaining))
}

/// Returns the rank of a step, with the jobs that the backlog lets be late.
pub(super) fn step_rank(
    job: &JobEntry,
    policy: &QueuePolicy,
    occurrence: u32,
    step: u32,
    now_unix_ms: u64,
    backlog: &Backlog,
) -> StepRank {
    let allowed = allowed_time(job, policy);
    let due_unix_ms = job.due_unix_ms(occurrence);
    let latest_start = |limit| latest_start_within(job, occurrence, step, limit);
    let latest_start_unix_ms = latest_start(allowed);
    let request = job.request.steps.get(step as usize);
    let is_long_running = request.is_some_and(|step| step.is_long_running);
    let is_let_late = || !is_long_running && backlog.is_let_late(job.id, occurrence);
    // A long-running task is of use whenever it starts.
    let class =
        if !is_long_running && latest_start(allowed.saturating_mul(USABLE_FACTOR)) < now_unix_ms {
            StepClass::Expired
        } else if latest_start_unix_ms < now_unix_ms || is_let_late() {
            StepClass::Late
        } else {
            StepClass::InTime
        };
    StepRank {
        priority: policy.priority,
        turn: 0,
        class,
        order_unix_ms: match class {
            StepClass::InTime => latest_start_unix_ms,
            StepClass::Late | StepClass::Expired => due_unix_ms,
        },
        latest_start_unix_ms,
        has_late_claim: class != StepClass::InTime
            && latest_start(allowed.saturating_mul(LATE_CLAIM_FACTOR)) < now_unix_ms,
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

/// Returns the number of a step's startable tasks.
pub(super) fn startable_count(job: &JobEntry, ready: ReadyStep, now: TimePoint) -> usize {
    let tasks = job
        .occurrence(ready.occurrence)
        .and_then(|one| one.steps.get(ready.step as usize));
    let tasks = tasks.into_iter().flatten();
    tasks.filter(|task| task.is_startable(now)).count()
}
