//! Which workers have improved since a search for a worker failed.
//!
//! A search that failed need not look again at workers that could have changed only for the worse.
//! Where all workers are full and hundreds of steps wait, nearly all searches fail.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::TimePoint;

use crate::job::WorkerId;

/// The workers that have improved, each with the number of its newest improvement.
///
/// A worker improves if it might now take a task that it refused before.
#[derive(Debug, Clone, Default)]
pub(super) struct ImprovementLog {
    newest: u64,
    workers: BTreeMap<u64, WorkerId>,
    numbers: BTreeMap<WorkerId, u64>,
}

impl ImprovementLog {
    /// Records that a worker has improved.
    pub(super) fn record(&mut self, worker: &WorkerId) {
        self.newest += 1;
        self.workers.insert(self.newest, worker.clone());
        if let Some(replaced) = self.numbers.insert(worker.clone(), self.newest) {
            self.workers.remove(&replaced);
        }
    }

    /// Returns the number of the newest improvement.
    pub(super) fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the workers that have improved since the improvement with the given number.
    pub(super) fn since(&self, number: u64) -> impl Iterator<Item = &WorkerId> {
        self.workers.range(number + 1..).map(|(_, worker)| worker)
    }
}

/// A search for a worker for a task of a step that found none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct FailedSearch {
    /// The newest improvement at that time.
    pub(super) newest: u64,
    /// When all workers were searched.
    pub(super) searched_at: TimePoint,
}

/// The workers among which a search looks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SearchScope {
    /// All workers.
    All,
    /// Those that have improved since a search failed that began with all workers at the given time.
    Improved { since: u64, searched_at: TimePoint },
}
