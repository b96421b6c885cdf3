//! The search for a worker for a task.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::improvement_log::{FailedSearch, SearchScope};
use super::placement_query::PlacementQuery;
use super::planner::JobPlanner;
use super::rank::ReadyStep;
use super::step_placement::StartableStep;
use crate::job::{StepKey, TaskKey, WorkerId};
use crate::worker::WorkerEntry;

/// The distance between the workers at which the searches for two consecutive tasks or steps begin.
const START_STRIDE: u64 = 37;
/// The interval, for each worker, between two searches among all workers for a step of which a search
/// has failed. Tail latencies and the speed that a step needs change without any worker improving.
const SEARCH_INTERVAL_PER_WORKER: Duration = Duration::from_micros(500);

impl JobPlanner {
    /// Updates what is derived from the workers that may have changed: the index, the log of
    /// improvements, and when renewals are due.
    pub(super) fn sync_workers(&mut self, now: TimePoint) {
        for id in self.workers.take_changed() {
            self.sync_worker(now, &id);
        }
    }

    /// Does the same for the workers that take tasks again because time has passed.
    pub(super) fn sync_resting_workers(&mut self, now: TimePoint) {
        let resting: Vec<WorkerId> = self.worker_index.resting().cloned().collect();
        for id in resting {
            self.sync_worker(now, &id);
        }
    }

    fn sync_worker(&mut self, now: TimePoint, id: &WorkerId) {
        let Some(entry) = self.workers.settle(id) else {
            self.worker_index.remove(id);
            self.renewal_queue.set(id, None);
            return;
        };
        let is_evacuated = self.zones.is_evacuated(entry);
        if entry.take_improvement(now, is_evacuated) {
            self.improvement_log.record(id);
        }
        self.worker_index.update(entry, is_evacuated, now);
        self.renewal_queue.set(id, entry.due_renewal());
    }

    /// Returns the workers among which a search for a step has to look.
    pub(super) fn search_scope(
        &self,
        now: TimePoint,
        startable: &StartableStep<'_>,
    ) -> SearchScope {
        let Some(failed) = self.failed_searches.get(&startable.ready.into()) else {
            return SearchScope::All;
        };
        let count = u32::try_from(self.workers.len()).unwrap_or(u32::MAX);
        let interval = SEARCH_INTERVAL_PER_WORKER.saturating_mul(count);
        if startable.policy.advice.is_some() || now.since(failed.searched_at) >= interval {
            return SearchScope::All;
        }
        SearchScope::Improved {
            since: failed.newest,
            searched_at: failed.searched_at,
        }
    }

    /// Records that no worker in a scope takes a task of a step.
    pub(super) fn record_failed_search(
        &mut self,
        now: TimePoint,
        startable: &StartableStep<'_>,
        scope: SearchScope,
    ) {
        let searched_at = match scope {
            SearchScope::All => now,
            SearchScope::Improved { searched_at, .. } => searched_at,
        };
        let failed = FailedSearch {
            newest: self.improvement_log.newest(),
            searched_at,
        };
        self.failed_searches.insert(startable.ready.into(), failed);
    }

    /// Returns the best worker for a task. Workers that the task avoids are considered only if no
    /// other worker can take it.
    pub(super) fn choose_worker(
        &self,
        now: TimePoint,
        startable: &StartableStep<'_>,
        key: TaskKey,
        rack: Option<&SmolStr>,
    ) -> Option<WorkerId> {
        self.choose_in_scope(now, startable, key, rack, SearchScope::All)
    }

    /// Returns the best worker for a task among those in a scope.
    pub(super) fn choose_in_scope(
        &self,
        now: TimePoint,
        startable: &StartableStep<'_>,
        key: TaskKey,
        rack: Option<&SmolStr>,
        scope: SearchScope,
    ) -> Option<WorkerId> {
        let query = self.query(now, startable, key, rack)?;
        let chosen = self.choose_by(&query, scope);
        if chosen.is_some() || query.avoided.is_empty() {
            return chosen;
        }
        let query = PlacementQuery {
            avoided: &[],
            ..query
        };
        self.choose_by(&query, scope)
    }

    fn choose_by(&self, query: &PlacementQuery<'_>, scope: SearchScope) -> Option<WorkerId> {
        query.choose(self.workers_in(query, scope))
    }

    /// Returns the workers in a scope that may have room for a task. Among all workers, they begin at a
    /// position that depends on the task, so that tasks spread over the workers.
    pub(super) fn workers_in<'a>(
        &'a self,
        query: &PlacementQuery<'_>,
        scope: SearchScope,
    ) -> impl Iterator<Item = &'a WorkerEntry> + use<'a> {
        let (improved, all) = match scope {
            SearchScope::All => (None, Some(self.workers_with_room(query))),
            SearchScope::Improved { since, .. } => (Some(self.improvement_log.since(since)), None),
        };
        let ids = improved.into_iter().flatten();
        let ids = ids.chain(all.into_iter().flatten());
        ids.filter_map(|id| self.workers.get(id)).inspect(|_| {
            self.compared_workers.update(|count| count + 1);
        })
    }

    fn workers_with_room<'a>(
        &'a self,
        query: &PlacementQuery<'_>,
    ) -> impl Iterator<Item = &'a WorkerId> + use<'a> {
        let task = query.task;
        let number = u64::from(task.index) + u64::from(task.step);
        let rotation = (number * START_STRIDE).wrapping_add(task.job.0);
        let with_room = self
            .worker_index
            .with_room(query.service, query.step, rotation);
        // A held worker takes no tasks but the one that it is held for.
        self.held_workers.get(&task).into_iter().chain(with_room)
    }
}

impl From<ReadyStep> for StepKey {
    fn from(ready: ReadyStep) -> Self {
        Self {
            job: ready.job,
            occurrence: ready.occurrence,
            step: ready.step,
        }
    }
}
