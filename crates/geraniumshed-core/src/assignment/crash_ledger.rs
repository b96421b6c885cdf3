//! The crashes under tasks, as they are stored for a successor.
//!
//! They have a record of their own for each job, which earlier releases ignore, so that those still
//! read the progress of the job.

use super::action::StoreChange;
use super::planner::JobPlanner;
use crate::job::{JobId, TaskCrashes, TaskPhase};

impl JobPlanner {
    /// Restores the crashes that an earlier planner stored. The jobs have to be restored before.
    pub fn restore_crashes(&mut self, id: JobId, crashes: Vec<TaskCrashes>) {
        let open = self.jobs.get_mut(&id).filter(|job| !job.phase.is_final());
        let Some(job) = open else {
            // An earlier release may have ended or removed the job without this record.
            self.change_tracker.mark_crashes_changed(id);
            return;
        };
        job.has_stored_crashes = true;
        for one in crashes {
            let Some(task) = job.task_mut(one.task) else {
                continue;
            };
            task.crashes = one.history;
            task.suspicion = one.suspicion;
            let TaskPhase::Placed(worker) = &task.phase else {
                continue;
            };
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.is_assessed |= one.suspicion.is_some();
                entry.trial = entry
                    .trial
                    .or(one.history.needs_trial().then_some(one.task));
            }
        }
    }

    /// Returns the change that stores the crashes under a job's tasks, or removes them if there are
    /// none or the job has ended.
    pub(super) fn crash_change(&mut self, id: JobId) -> Option<StoreChange> {
        let Some(job) = self.jobs.get_mut(&id) else {
            return Some(StoreChange::Crashes(id, Vec::new()));
        };
        let crashes = job.crashes();
        let had_crashes = std::mem::replace(&mut job.has_stored_crashes, !crashes.is_empty());
        let is_needed = had_crashes || !crashes.is_empty() || job.phase.is_final();
        is_needed.then_some(StoreChange::Crashes(id, crashes))
    }
}
