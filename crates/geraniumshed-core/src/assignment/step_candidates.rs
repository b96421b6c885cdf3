//! The workers that suit the tasks of a step.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::job::WorkerId;

/// The workers that suit the tasks of a step, best first.
///
/// All tasks of a step are compared with the same workers, since a placement changes the score of its
/// own worker alone.
#[derive(Debug, Default)]
pub(super) struct StepCandidates {
    ranked: BinaryHeap<RankedWorker>,
    /// Whether further workers may suit, since only a limited number was compared.
    pub(super) is_limited: bool,
}

/// A worker with its score for the tasks of a step. Of equal ones, that with the highest position is
/// the greatest.
#[derive(Debug, Clone)]
pub(super) struct RankedWorker {
    pub(super) score: f64,
    pub(super) position: usize,
    pub(super) worker: WorkerId,
}

impl StepCandidates {
    /// Creates candidates from as many suitable workers as a limit allows.
    pub(super) fn collect(ranked: impl Iterator<Item = RankedWorker>, limit: usize) -> Self {
        let ranked: BinaryHeap<RankedWorker> = ranked.take(limit).collect();
        Self {
            is_limited: ranked.len() >= limit,
            ranked,
        }
    }

    /// Takes the best worker out.
    pub(super) fn take_best(&mut self) -> Option<RankedWorker> {
        self.ranked.pop()
    }

    /// Puts a worker back with its present score.
    pub(super) fn put_back(&mut self, ranked: RankedWorker) {
        self.ranked.push(ranked);
    }
}

impl Ord for RankedWorker {
    fn cmp(&self, other: &Self) -> Ordering {
        let scores = self.score.total_cmp(&other.score);
        scores.then(self.position.cmp(&other.position))
    }
}

impl PartialOrd for RankedWorker {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for RankedWorker {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for RankedWorker {}
