//! The stored form of what is known about leases.

use std::time::Duration;

use geraniumshed_core::assignment::{LeaseSnapshot, UnconfirmedRun, WorkerLease};
use geraniumshed_core::job::WorkerId;
use geraniumshed_core::leadership::LeaderTerm;
use geraniumshed_model::prelude::whole_millis;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use super::task::TaskKeyWire;

/// What is known about leases, as it is stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSnapshotWire {
    /// The term of the leader that wrote the record.
    term: u64,
    /// The longest lease that the leader asks for, in milliseconds.
    requested_ms: u64,
    /// The time until the leases of earlier leaders have expired, in milliseconds.
    inherited_ms: u64,
    /// Each silent worker, and the time until its lease has expired, in milliseconds.
    silent: Vec<(SmolStr, u64)>,
    /// The same for the workers with leases that may be longer than requested.
    long: Vec<(SmolStr, u64)>,
    /// Each run on a silent worker that its known process hasn't confirmed, and the time until the lease of
    /// any process has expired, in milliseconds.
    unconfirmed: Vec<(TaskKeyWire, u64)>,
}

impl LeaseSnapshotWire {
    /// Creates the stored form of a snapshot that the leader of a term took.
    pub fn new(term: LeaderTerm, snapshot: LeaseSnapshot) -> Self {
        let lease = |one: WorkerLease| (one.worker.0, ceil_millis(one.remaining));
        let run = |one: UnconfirmedRun| (one.task.into(), ceil_millis(one.remaining));
        Self {
            term: term.0,
            requested_ms: ceil_millis(snapshot.requested),
            inherited_ms: ceil_millis(snapshot.inherited),
            silent: snapshot.silent.into_iter().map(lease).collect(),
            long: snapshot.long.into_iter().map(lease).collect(),
            unconfirmed: snapshot.unconfirmed.into_iter().map(run).collect(),
        }
    }

    /// Returns the term of the leader that wrote the record.
    pub fn term(&self) -> LeaderTerm {
        LeaderTerm(self.term)
    }
}

impl From<LeaseSnapshotWire> for LeaseSnapshot {
    fn from(wire: LeaseSnapshotWire) -> Self {
        let lease = |(worker, remaining_ms)| WorkerLease {
            worker: WorkerId(worker),
            remaining: Duration::from_millis(remaining_ms),
        };
        let run = |(task, remaining_ms): (TaskKeyWire, u64)| UnconfirmedRun {
            task: task.into(),
            remaining: Duration::from_millis(remaining_ms),
        };
        Self {
            requested: Duration::from_millis(wire.requested_ms),
            inherited: Duration::from_millis(wire.inherited_ms),
            silent: wire.silent.into_iter().map(lease).collect(),
            long: wire.long.into_iter().map(lease).collect(),
            unconfirmed: wire.unconfirmed.into_iter().map(run).collect(),
        }
    }
}

/// Returns a number of milliseconds that is not shorter than a time.
fn ceil_millis(time: Duration) -> u64 {
    whole_millis(time + Duration::from_nanos(999_999))
}
