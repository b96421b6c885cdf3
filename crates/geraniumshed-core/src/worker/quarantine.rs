//! The quarantine of workers whose runs fail.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use crate::job::{JobId, TaskKey};

/// The number of different jobs with consecutive failures that starts a quarantine. Failures of a
/// single job may be the job's own fault.
const FAILED_JOB_LIMIT: usize = 2;
/// The duration of the first quarantine.
const FIRST_DURATION: Duration = Duration::from_millis(1500);
/// The maximum duration, up to which each further quarantine doubles.
const MAX_DURATION: Duration = Duration::from_secs(6);

/// Keeps new tasks away from a worker whose runs fail, with exponential backoff.
///
/// After a quarantine the worker gets a single task, the probe. The probe's success ends the
/// backoff, and its failure starts a longer quarantine.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerQuarantine {
    /// The distinct jobs whose runs failed since the last success.
    failed_jobs: Vec<JobId>,
    until: Option<TimePoint>,
    /// The duration of the next quarantine, if there was one since the last success.
    next_duration: Option<Duration>,
    /// The task that probes whether the worker works again.
    probe: Option<TaskKey>,
}

impl WorkerQuarantine {
    /// Records a success, which ends the quarantine and the backoff.
    pub fn record_success(&mut self) {
        *self = Self::default();
    }

    /// Records a run that failed or stalled, and returns whether the worker is in quarantine now.
    pub fn record_failure(&mut self, job: JobId, now: TimePoint) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let is_probing = self.next_duration.is_some();
        if self.failed_jobs.len() < FAILED_JOB_LIMIT && !is_probing {
            return false;
        }
        self.start(now);
        true
    }

    /// Starts a quarantine, unless one is in progress.
    pub fn start(&mut self, now: TimePoint) {
        if self.is_active(now) {
            return;
        }
        let duration = self.next_duration.unwrap_or(FIRST_DURATION);
        self.until = Some(now + duration);
        self.next_duration = Some((duration * 2).min(MAX_DURATION));
    }

    /// Returns whether the quarantine is in progress.
    pub fn is_active(&self, now: TimePoint) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether the worker may get a task now.
    ///
    /// After a quarantine only one task is allowed at a time, as a probe.
    pub fn allows_task(&self, now: TimePoint) -> bool {
        !self.is_active(now) && (self.next_duration.is_none() || self.probe.is_none())
    }

    /// Records that a task was placed on the worker.
    pub fn task_added(&mut self, task: TaskKey) {
        if self.next_duration.is_some() {
            self.probe = Some(task);
        }
    }

    /// Returns whether a task is the probe.
    pub fn is_probe(&self, task: TaskKey) -> bool {
        self.probe == Some(task)
    }

    /// Records that a task has left the worker, so that another one may become the probe.
    pub fn task_removed(&mut self, task: TaskKey) {
        self.probe = self.probe.filter(|probe| *probe != task);
    }
}
