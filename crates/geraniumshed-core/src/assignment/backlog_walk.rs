//! The remaining work of the jobs that are to be placed, as it ranks against a new job.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::whole_millis;

use super::action::PlannerTime;
use super::forecast::useless_unix_ms;
use super::rank::latest_start_within;
use super::start_history::ServiceLevel;
use crate::job::{JobEntry, Occurrence, QueueName, QueuePolicy, StepRequest, TaskPhase};

/// The remaining work of a level that is of use, in processor-seconds.
#[derive(Debug, Default)]
struct LevelWork {
    /// The latest start of each step that can be in time, in milliseconds of Unix time, with the work
    /// of all steps up to it once the walk is finished.
    in_time: Vec<(u64, f64)>,
    late: f64,
}

impl LevelWork {
    /// Returns the work of the steps that can be in time and rank ahead of a latest start.
    fn in_time_before(&self, latest_start_unix_ms: u64) -> f64 {
        let count = self
            .in_time
            .partition_point(|(start, _)| *start <= latest_start_unix_ms);
        let last = count.checked_sub(1).map(|last| self.in_time[last]);
        last.map_or(0.0, |(_, work)| work)
    }

    fn all(&self) -> f64 {
        self.in_time_before(u64::MAX) + self.late
    }
}

/// A queue with tasks that could start.
#[derive(Debug)]
pub(super) struct WaitingQueue {
    pub(super) level: ServiceLevel,
    /// The sum of the slacks of the queue's waiting jobs.
    slack: Duration,
    jobs: u32,
}

impl WaitingQueue {
    /// Returns the latest start with which a new job would be in time whose slack is the mean of those
    /// that wait, in milliseconds of Unix time.
    pub(super) fn latest_start_of_new_job(&self, now_unix_ms: u64) -> u64 {
        now_unix_ms.saturating_add(whole_millis(self.slack / self.jobs.max(1)))
    }
}

/// The work of the more urgent levels of a service.
#[derive(Debug)]
pub(super) struct UrgentWork {
    pub(super) levels: Vec<ServiceLevel>,
    pub(super) work: f64,
}

/// The work of a level that ranks ahead of a new job.
#[derive(Debug)]
pub(super) struct OwnWork {
    /// The work of steps that can be in time, and have less slack than the job.
    pub(super) sooner: f64,
    /// The work of all steps that can be in time.
    pub(super) in_time: f64,
    /// The work of late steps, which ranks ahead once the job is late as well.
    pub(super) late: f64,
}

/// A walk over the jobs that are to be placed, which sums up their remaining work.
#[derive(Debug, Default)]
pub(super) struct BacklogWalk {
    levels: BTreeMap<ServiceLevel, LevelWork>,
    queues: BTreeMap<QueueName, WaitingQueue>,
}

impl BacklogWalk {
    /// Adds the remaining work of a job. Long-running tasks have none, since they don't end.
    pub(super) fn add_job(&mut self, job: &JobEntry, policy: &QueuePolicy, now: PlannerTime) {
        let level = ServiceLevel {
            service: policy.service.clone(),
            priority: policy.priority,
        };
        let allowed = policy.allowed_time(job.longest_chain());
        let mut is_waiting = false;
        for occurrence in &job.occurrences {
            if useless_unix_ms(job, occurrence.number, allowed) < now.unix_ms {
                continue;
            }
            for (index, step) in (0u32..).zip(&job.request.steps) {
                let work = remaining_work(occurrence, index, step);
                if work <= 0.0 || step.is_long_running {
                    continue;
                }
                let entry = self.levels.entry(level.clone()).or_default();
                let latest_start = latest_start_within(job, occurrence.number, index, allowed);
                if latest_start < now.unix_ms {
                    entry.late += work;
                } else {
                    entry.in_time.push((latest_start, work));
                }
                is_waiting |= occurrence.is_step_due(step);
            }
        }
        if is_waiting {
            let slack = allowed.saturating_sub(job.longest_chain());
            let queue = self.queues.entry(job.request.queue.clone());
            let queue = queue.or_insert_with(|| WaitingQueue {
                level,
                slack: Duration::ZERO,
                jobs: 0,
            });
            queue.slack = queue.slack.saturating_add(slack);
            queue.jobs += 1;
        }
    }

    /// Prepares the sums after the last job.
    pub(super) fn finish(&mut self) {
        for level in self.levels.values_mut() {
            level.in_time.sort_unstable_by_key(|(start, _)| *start);
            let mut sum = 0.0;
            for (_, work) in &mut level.in_time {
                sum += *work;
                *work = sum;
            }
        }
    }

    /// Returns the queues with tasks that could start.
    pub(super) fn queues(&self) -> impl Iterator<Item = (&QueueName, &WaitingQueue)> {
        self.queues.iter()
    }

    /// Returns the work of the levels of the same service that rank ahead of a level, whatever their
    /// jobs' slack.
    pub(super) fn more_urgent(&self, level: &ServiceLevel) -> UrgentWork {
        let first = ServiceLevel {
            service: level.service.clone(),
            priority: 0,
        };
        let ahead = self.levels.range(&first..level);
        UrgentWork {
            levels: ahead.clone().map(|(level, _)| level.clone()).collect(),
            work: ahead.map(|(_, work)| work.all()).sum(),
        }
    }

    /// Returns the work of a level that ranks ahead of a new job with a latest start.
    pub(super) fn own_work(&self, level: &ServiceLevel, latest_start_unix_ms: u64) -> OwnWork {
        let work = self.levels.get(level);
        OwnWork {
            sooner: work.map_or(0.0, |work| work.in_time_before(latest_start_unix_ms)),
            in_time: work.map_or(0.0, |work| work.in_time_before(u64::MAX)),
            late: work.map_or(0.0, |work| work.late),
        }
    }
}

/// Returns the estimated work of a step's tasks that aren't placed or done, in processor-seconds.
fn remaining_work(occurrence: &Occurrence, index: u32, step: &StepRequest) -> f64 {
    let tasks = occurrence.steps.get(index as usize);
    let tasks = tasks.into_iter().flatten();
    let waiting = tasks.filter(|task| task.phase == TaskPhase::Waiting);
    step.task_work() * waiting.count() as f64
}
