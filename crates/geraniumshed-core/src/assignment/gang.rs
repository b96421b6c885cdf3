//! Placement of gangs: steps whose tasks have to run at the same time.

use super::action::PlannerTime;
use super::planner::JobPlanner;
use super::step_placement::StartableStep;
use crate::job::{TaskKey, WorkerId};

/// The outcome of placing a gang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum GangOutcome {
    /// All members were placed.
    Placed,
    /// Not all members can start yet.
    Incomplete,
    /// The workers can't take all members at once.
    NoRoom,
    /// The members wait until one rack has room for all of them.
    Waits,
}

impl JobPlanner {
    /// Places all members of a gang or none.
    pub(super) fn place_gang(
        &mut self,
        now: PlannerTime,
        startable: &StartableStep<'_>,
    ) -> GangOutcome {
        let (step, keys) = (startable.step, &startable.keys);
        let Some(first) = keys.first() else {
            return GangOutcome::Incomplete;
        };
        let job = self.jobs.get(&first.job);
        let occurrence = job.and_then(|job| job.occurrence(first.occurrence));
        let Some(members) = occurrence.and_then(|one| one.steps.get(first.step as usize)) else {
            return GangOutcome::Incomplete;
        };
        // The members start together, after all runs of the previous attempt have ended.
        if keys.len() != members.len() {
            return GangOutcome::Incomplete;
        }
        if !self.allows_trials(keys) {
            return GangOutcome::NoRoom;
        }
        let run = members.iter().map(|task| task.run).max().unwrap_or(0) + 1;
        let checkpoint = members.iter().find_map(|task| task.checkpoint.clone());
        let mut placed: Vec<(TaskKey, WorkerId)> = Vec::new();
        for key in keys {
            let rack = placed
                .first()
                .and_then(|(_, worker)| self.workers.get(worker)?.listing.rack.clone());
            let rack = rack.filter(|_| step.wants_one_rack);
            let chosen = self.choose_worker(now.point, startable, *key, rack.as_ref());
            let Some(worker) = chosen else {
                self.release_gang(&placed, run);
                return GangOutcome::NoRoom;
            };
            self.reserve(now.point, step, *key, &worker, run);
            placed.push((*key, worker));
        }
        if step.wants_one_rack {
            self.release_gang(&placed, run);
            if self.gang_waits_for_rack(now, startable, &placed) {
                return GangOutcome::Waits;
            }
            for (key, worker) in &placed {
                self.reserve(now.point, step, *key, worker, run);
            }
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
        GangOutcome::Placed
    }

    fn release_gang(&mut self, placed: &[(TaskKey, WorkerId)], run: u32) {
        for (key, worker) in placed {
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.remove_run(*key, run);
            }
        }
    }
}
