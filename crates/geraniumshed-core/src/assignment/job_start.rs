//! The start of a job: the first sign that a worker has begun one of its tasks.
//!
//! A placement says nothing, since it may be withdrawn, refused or lost with its worker. So does an unanswered
//! start order, until the worker lists the run.

use super::planner::JobPlanner;
use crate::job::{JobId, JobPhase, WorkerId};
use crate::worker::{RunPhase, RunReport, WorkerEntry};

impl JobPlanner {
    /// Records that a worker has begun a task of a job. Whatever becomes of that run, the job has started.
    pub(super) fn record_job_start(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
            self.change_tracker.note_changed(id);
        }
    }

    /// Records the starts of jobs that a worker's list of runs shows.
    pub(super) fn record_listed_starts(&mut self, worker: &WorkerId, running: &[RunReport]) {
        for report in running {
            let entry = self.workers.get(worker);
            if !entry.is_some_and(|entry| entry.has_confirmed(report)) {
                self.record_job_start(report.task.job);
            }
        }
    }
}

impl WorkerEntry {
    /// Returns whether the worker has confirmed a run before.
    fn has_confirmed(&self, report: &RunReport) -> bool {
        let run = self.runs.get(&report.task);
        let run = run.filter(|run| run.run == report.run);
        run.is_some_and(|run| matches!(run.phase, RunPhase::Running(_)))
    }
}
