//! The search for the workers of a step's tasks.

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::improvement_log::SearchScope;
use super::placement_query::PlacementQuery;
use super::planner::JobPlanner;
use super::step_candidates::{RankedWorker, StepCandidates};
use super::step_placement::StartableStep;
use crate::job::{TaskKey, WorkerId};

/// What the searches for the workers of a step's tasks share.
#[derive(Debug)]
pub(super) struct StepSearch {
    /// The workers among which to search.
    pub(super) scope: SearchScope,
    /// The rack of the step's other tasks, if the step asks for a single rack.
    rack: Option<SmolStr>,
    /// Whether all ordinary tasks have the same candidates. Where the first task decides on the rack, or
    /// the adviser on the workers, they differ.
    shares_candidates: bool,
    /// The candidates of the ordinary tasks, once one was searched for.
    candidates: Option<StepCandidates>,
    /// The candidate that was chosen last.
    taken: Option<RankedWorker>,
}

impl JobPlanner {
    /// Begins the searches for a step's tasks.
    pub(super) fn open_search(&self, now: TimePoint, startable: &StartableStep<'_>) -> StepSearch {
        StepSearch {
            scope: self.search_scope(now, startable),
            rack: self.step_rack(startable.step, startable.ready),
            shares_candidates: startable.policy.advice.is_none() && !startable.step.wants_one_rack,
            candidates: None,
            taken: None,
        }
    }

    /// Returns the best worker for a task. Workers that the task avoids are considered only if no
    /// other worker can take it.
    pub(super) fn find_worker(
        &self,
        now: TimePoint,
        startable: &StartableStep<'_>,
        key: TaskKey,
        search: &mut StepSearch,
    ) -> Option<WorkerId> {
        search.taken = None;
        if search.shares_candidates && self.is_ordinary(key) {
            search.taken = self.take_candidate(now, startable, key, search);
            return search.taken.as_ref().map(|best| best.worker.clone());
        }
        let scope = if self.has_held_worker(key) {
            SearchScope::All
        } else {
            search.scope
        };
        self.choose_in_scope(now, startable, key, search.rack.as_ref(), scope)
    }

    /// Takes into account that a task was placed on the worker that was found for it.
    pub(super) fn note_placed(
        &self,
        now: TimePoint,
        startable: &StartableStep<'_>,
        key: TaskKey,
        search: &mut StepSearch,
    ) {
        if search.rack.is_none() {
            search.rack = self.step_rack(startable.step, startable.ready);
        }
        let (Some(taken), Some(candidates)) = (search.taken.take(), &mut search.candidates) else {
            return;
        };
        let query = self.query(now, startable, key, None);
        if let Some(score) = query.and_then(|query| self.rate_candidate(&query, &taken)) {
            candidates.put_back(RankedWorker { score, ..taken });
        }
    }

    /// Takes the best candidate for an ordinary task. The candidates are collected for the first one, and
    /// again once none of a limited number is left.
    fn take_candidate(
        &self,
        now: TimePoint,
        startable: &StartableStep<'_>,
        key: TaskKey,
        search: &mut StepSearch,
    ) -> Option<RankedWorker> {
        let query = self.query(now, startable, key, None)?;
        let limit = query.candidate_limit(startable.keys.len());
        let scope = search.scope;
        let collect = || self.collect_candidates(&query, scope, limit);
        let candidates = search.candidates.get_or_insert_with(collect);
        let best = self.take_suitable(&query, candidates);
        if best.is_some() || !candidates.is_limited {
            return best;
        }
        *candidates = collect();
        self.take_suitable(&query, candidates)
    }

    fn collect_candidates(
        &self,
        query: &PlacementQuery<'_>,
        scope: SearchScope,
        limit: usize,
    ) -> StepCandidates {
        let workers = self.workers_in(query, scope).enumerate();
        let ranked = workers.filter_map(|(position, worker)| {
            Some(RankedWorker {
                score: query.rate(worker)?,
                position,
                worker: worker.id().clone(),
            })
        });
        StepCandidates::collect(ranked, limit)
    }

    /// Takes the best candidate that can still take a task, by the workers' present scores.
    fn take_suitable(
        &self,
        query: &PlacementQuery<'_>,
        candidates: &mut StepCandidates,
    ) -> Option<RankedWorker> {
        while let Some(best) = candidates.take_best() {
            match self.rate_candidate(query, &best) {
                Some(score) if score >= best.score => return Some(best),
                Some(score) => candidates.put_back(RankedWorker { score, ..best }),
                None => {}
            }
        }
        None
    }

    fn rate_candidate(&self, query: &PlacementQuery<'_>, candidate: &RankedWorker) -> Option<f64> {
        let worker = self.workers.get(&candidate.worker)?;
        query.rate(worker)
    }

    /// Returns whether a task has the same requirements as all others of its step.
    fn is_ordinary(&self, key: TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let has_history = task.is_some_and(|task| !task.avoided.is_empty());
        !has_history && !self.needs_trial(key) && !self.has_held_worker(key)
    }
}
