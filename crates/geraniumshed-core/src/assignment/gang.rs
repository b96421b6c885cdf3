//! Gangs: steps whose tasks work only together.

use super::action::PlannerMoment;
use super::planner::JobPlanner;
use crate::job::{ServiceName, StepRequest, TaskKey, WorkerId};

impl JobPlanner {
    /// Places all members of a gang, or none, and returns whether it did.
    pub(super) fn place_gang(
        &mut self,
        now: PlannerMoment,
        service: &ServiceName,
        step: &StepRequest,
        keys: &[TaskKey],
        least_speed: f64,
    ) -> bool {
        let Some(job) = keys.first().and_then(|key| self.jobs.get(&key.job)) else {
            return true;
        };
        let members = keys
            .first()
            .and_then(|key| job.occurrence(key.occurrence)?.steps.get(key.step as usize));
        let Some(members) = members else {
            return true;
        };
        // The members of a run start together, after all of the run before have ended.
        if keys.len() != members.len() {
            return true;
        }
        let run = members.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        let checkpoint = members.iter().find_map(|task| task.checkpoint.clone());
        let mut placed: Vec<(TaskKey, WorkerId)> = Vec::new();
        for key in keys {
            let rack = placed
                .first()
                .and_then(|(_, worker)| self.workers.get(worker)?.listing.rack.clone());
            let rack = rack.filter(|_| step.wants_one_rack);
            let rack_name = rack.as_ref();
            let chosen = self.choose_worker(now.point, service, step, *key, rack_name, least_speed);
            let Some(worker) = chosen else {
                self.withdraw_gang(&placed, run);
                return false;
            };
            self.reserve(now.point, step, *key, &worker, run);
            placed.push((*key, worker));
        }
        for (key, worker) in placed {
            if let Some(task) = self
                .jobs
                .get_mut(&key.job)
                .and_then(|job| job.task_mut(key))
            {
                task.checkpoint.clone_from(&checkpoint);
            }
            self.commit_placement(key, &worker, run);
        }
        true
    }

    fn withdraw_gang(&mut self, placed: &[(TaskKey, WorkerId)], run: u32) {
        for (key, worker) in placed {
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.remove_run(*key, run);
            }
        }
    }
}
