//! The record, written by all stand-ins of one set.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use geraniumshed_model::prelude::TimePoint;

use super::record::{
    ExecutionEnd, ExecutionRecord, LeavingRecord, OverloadRecord, PlacementEnd, PlacementRecord,
    RefusalRecord, TruthRecord, VmRecord,
};
use crate::clock::TruthClock;

/// The shared record of truth.
#[derive(Debug, Clone)]
pub struct TruthLedger {
    clock: TruthClock,
    record: Arc<Mutex<TruthRecord>>,
}

/// The position of an attempt in the record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementMark(usize);

impl TruthLedger {
    /// Opens an empty record.
    pub fn open(clock: TruthClock) -> Self {
        Self {
            clock,
            record: Arc::default(),
        }
    }

    /// Returns the clock of the record.
    pub fn clock(&self) -> TruthClock {
        self.clock
    }

    /// Returns a copy of the record as it stands.
    pub fn snapshot(&self) -> TruthRecord {
        self.record().clone()
    }

    /// Adds a worker.
    pub fn add_vm(&self, vm: VmRecord) {
        self.record().vms.push(vm);
    }

    /// Adds an attempt that begins.
    pub fn begin_placement(&self, placement: PlacementRecord) -> PlacementMark {
        let mut record = self.record();
        record.placements.push(placement);
        PlacementMark(record.placements.len() - 1)
    }

    /// Notes the end of an attempt.
    pub fn end_placement(
        &self,
        mark: PlacementMark,
        at: TimePoint,
        work_after: u64,
        outcome: PlacementEnd,
    ) {
        let mut record = self.record();
        let placement = &mut record.placements[mark.0];
        placement.end = Some(at.0);
        placement.work_after = work_after;
        placement.outcome = Some(outcome);
    }

    /// Adds a start that would have exceeded a worker's size.
    pub fn add_overload(&self, overload: OverloadRecord) {
        self.record().overloads.push(overload);
    }

    /// Adds an endpoint or a VM that leaves.
    pub fn add_leaving(&self, leaving: LeavingRecord) {
        self.record().leavings.push(leaving);
    }

    /// Adds a request that an endpoint did not run.
    pub fn add_refusal(&self, refusal: RefusalRecord) {
        self.record().refusals.push(refusal);
    }

    /// Adds a run of a request, which ends as `dropped` says unless its guard is told otherwise.
    pub fn begin_execution(
        &self,
        execution: ExecutionRecord,
        dropped: Arc<Mutex<ExecutionEnd>>,
    ) -> ExecutionGuard {
        let mut record = self.record();
        record.executions.push(execution);
        ExecutionGuard {
            ledger: self.clone(),
            index: record.executions.len() - 1,
            dropped,
            outcome: None,
        }
    }

    fn record(&self) -> MutexGuard<'_, TruthRecord> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A run of a request that goes on; the run ends when the guard is dropped.
#[derive(Debug)]
pub struct ExecutionGuard {
    ledger: TruthLedger,
    index: usize,
    dropped: Arc<Mutex<ExecutionEnd>>,
    outcome: Option<ExecutionEnd>,
}

impl ExecutionGuard {
    /// Ends the run.
    pub fn end(mut self, outcome: ExecutionEnd) {
        self.outcome = Some(outcome);
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        let now = self.ledger.clock.now();
        let dropped = *self.dropped.lock().unwrap_or_else(PoisonError::into_inner);
        let mut record = self.ledger.record();
        let execution = &mut record.executions[self.index];
        execution.end = Some(now.0);
        execution.outcome = Some(self.outcome.unwrap_or(dropped));
    }
}
