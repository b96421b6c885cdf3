//! How far a worker is trusted with new tasks, judged by what became of earlier ones.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use crate::job::{JobId, TaskKey};

/// The number of jobs that have to fail in a row before a worker gets no more tasks.
const FAILED_JOBS_LIMIT: usize = 2;
/// The time for which a worker gets no tasks after its failures.
const FIRST_PAUSE: Duration = Duration::from_millis(1500);
/// The longest such time.
const LONGEST_PAUSE: Duration = Duration::from_secs(6);

/// The evidence for and against a worker.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct WorkerTrust {
    /// The jobs whose tasks failed since the last success, each once.
    failed_jobs: Vec<JobId>,
    paused_until: Option<TimePoint>,
    next_pause: Option<Duration>,
    /// The single task that shows whether the worker works again.
    probe: Option<TaskKey>,
}

impl WorkerTrust {
    /// Takes note of a run that ended with success.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Takes note of a run that failed or stalled, and returns whether the worker is now paused.
    pub fn failed(&mut self, job: JobId, now: TimePoint) -> bool {
        if !self.failed_jobs.contains(&job) {
            self.failed_jobs.push(job);
        }
        let is_on_probe = self.next_pause.is_some();
        if self.failed_jobs.len() < FAILED_JOBS_LIMIT && !is_on_probe {
            return false;
        }
        self.pause(now);
        true
    }

    /// Keeps new tasks away for a while.
    pub fn pause(&mut self, now: TimePoint) {
        if self.is_paused(now) {
            return;
        }
        let pause = self.next_pause.unwrap_or(FIRST_PAUSE);
        self.paused_until = Some(now + pause);
        self.next_pause = Some((pause * 2).min(LONGEST_PAUSE));
    }

    /// Tells whether the worker gets no tasks now.
    pub fn is_paused(&self, now: TimePoint) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Tells whether the worker may get a task now.
    ///
    /// After a pause it gets a single task, which shows whether it works again.
    pub fn takes_task(&self, now: TimePoint) -> bool {
        !self.is_paused(now) && (self.next_pause.is_none() || self.probe.is_none())
    }

    /// Takes note that the worker got a task.
    pub fn got_task(&mut self, task: TaskKey) {
        if self.next_pause.is_some() {
            self.probe = Some(task);
        }
    }

    /// Tells whether a task is the one that shows whether the worker works again.
    pub fn is_probe(&self, task: TaskKey) -> bool {
        self.probe == Some(task)
    }

    /// Takes note that a task has left the worker without showing anything.
    pub fn lost_task(&mut self, task: TaskKey) {
        self.probe = self.probe.filter(|probe| *probe != task);
    }
}
