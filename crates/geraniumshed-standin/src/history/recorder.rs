//! The history recorder that all stand-ins of one cluster share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geraniumshed_model::prelude::TimePoint;

use super::record::{
    ExecutionEnd, ExecutionRecord, LeavingRecord, OverloadRecord, PlacementEnd, PlacementRecord,
    RefusalRecord, RunHistory, VmRecord,
};
use crate::clock::StandinClock;

/// A shared handle that appends to the history.
#[derive(Debug, Clone)]
pub struct HistoryRecorder {
    clock: StandinClock,
    history: Arc<Mutex<RunHistory>>,
}

/// The index of an attempt in the history.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementIndex(usize);

impl HistoryRecorder {
    /// Creates a recorder with an empty history.
    pub fn open(clock: StandinClock) -> Self {
        Self {
            clock,
            history: Arc::default(),
        }
    }

    /// Returns the clock that timestamps the history.
    pub fn clock(&self) -> StandinClock {
        self.clock
    }

    /// Returns a copy of the current history.
    pub fn snapshot(&self) -> RunHistory {
        self.history().clone()
    }

    /// Records a worker and its size.
    pub fn add_vm(&self, vm: VmRecord) {
        self.history().vms.push(vm);
    }

    /// Records the start of an attempt.
    pub fn begin_placement(&self, placement: PlacementRecord) -> PlacementIndex {
        let mut history = self.history();
        history.placements.push(placement);
        PlacementIndex(history.placements.len() - 1)
    }

    /// Records the end of an attempt.
    pub fn end_placement(
        &self,
        index: PlacementIndex,
        at: TimePoint,
        work_after: u64,
        outcome: PlacementEnd,
    ) {
        let mut history = self.history();
        let placement = &mut history.placements[index.0];
        placement.end = Some(at.0);
        placement.work_after = work_after;
        placement.outcome = Some(outcome);
    }

    /// Records a start command that would have exceeded a worker's size.
    pub fn add_overload(&self, overload: OverloadRecord) {
        self.history().overloads.push(overload);
    }

    /// Records that an endpoint or a VM begins to leave.
    pub fn add_leaving(&self, leaving: LeavingRecord) {
        self.history().leavings.push(leaving);
    }

    /// Records a request that an endpoint refused to run.
    pub fn add_refusal(&self, refusal: RefusalRecord) {
        self.history().refusals.push(refusal);
    }

    /// Records the start of a request's execution.
    ///
    /// If the guard is dropped without a call of [`ExecutionGuard::end`], the execution ends with
    /// the value that `end_on_drop` has by then.
    pub fn begin_execution(
        &self,
        execution: ExecutionRecord,
        end_on_drop: Arc<Mutex<ExecutionEnd>>,
    ) -> ExecutionGuard {
        let mut history = self.history();
        history.executions.push(execution);
        ExecutionGuard {
            recorder: self.clone(),
            index: history.executions.len() - 1,
            end_on_drop,
            outcome: None,
        }
    }

    fn history(&self) -> MutexGuard<'_, RunHistory> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// An execution in progress; dropping the guard records its end.
#[derive(Debug)]
pub struct ExecutionGuard {
    recorder: HistoryRecorder,
    index: usize,
    end_on_drop: Arc<Mutex<ExecutionEnd>>,
    outcome: Option<ExecutionEnd>,
}

impl ExecutionGuard {
    /// Ends the execution with an outcome.
    pub fn end(mut self, outcome: ExecutionEnd) {
        self.outcome = Some(outcome);
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        let now = self.recorder.clock.now();
        let end_on_drop = *self
            .end_on_drop
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        let mut history = self.recorder.history();
        let execution = &mut history.executions[self.index];
        execution.end = Some(now.0);
        execution.outcome = Some(self.outcome.unwrap_or(end_on_drop));
    }
}
