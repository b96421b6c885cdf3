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

/// The distance between the workers at which the searches for two consecutive tasks of a step
/// begin.
const START_STRIDE: u64 = 37;
/// The interval, for each worker, between two searches among all workers for a step of which a search
/// has failed. Tail latencies and the speed that a step needs change without any worker improving.
const SEARCH_INTERVAL_PER_WORKER: Duration = Duration::from_micros(500);

impl JobPlanner {
    /// Notes the ids of the workers and which of them have improved, before a placement pass.
    pub(super) fn note_workers(&mut self, now: TimePoint) {
        self.worker_ids.clear();
        self.worker_ids.extend(self.workers.keys().cloned());
        for (id, worker) in &mut self.workers {
            if worker.take_improvement(now) {
                self.improvement_log.record(id);
            }
        }
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
        let count = |_: &&WorkerEntry| self.compared_workers.update(|count| count + 1);
        match scope {
            SearchScope::All => query.choose(self.rotated_workers(query.task).inspect(count)),
            SearchScope::Improved { since, .. } => {
                let ids = self.improvement_log.since(since);
                let workers = ids.filter_map(|id| self.workers.get(id));
                query.choose(workers.inspect(count))
            }
        }
    }

    /// Returns all workers, beginning at a position that depends on the task, so that tasks spread
    /// over the workers.
    fn rotated_workers(&self, key: TaskKey) -> impl Iterator<Item = &WorkerEntry> {
        let count = self.worker_ids.len().max(1);
        let first = (u64::from(key.index) * START_STRIDE).wrapping_add(key.job.0);
        let first = usize::try_from(first % count as u64).unwrap_or_default();
        // Without ids, the empty one precedes all workers.
        let first = self.worker_ids.get(first).cloned();
        let first = first.unwrap_or_else(|| WorkerId(SmolStr::default()));
        let tail = self.workers.range(first.clone()..);
        let head = self.workers.range(..first);
        tail.chain(head).map(|(_, worker)| worker)
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
