//! The stored form of what is known about leases.

use std::time::Duration;

use geraniumshed_core::assignment::{LeaseSnapshot, SilentLease};
use geraniumshed_core::job::WorkerId;
use geraniumshed_core::leadership::LeaderTerm;
use geraniumshed_model::prelude::whole_millis;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

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
}

impl LeaseSnapshotWire {
    /// Creates the stored form of a snapshot that the leader of a term took.
    pub fn new(term: LeaderTerm, snapshot: LeaseSnapshot) -> Self {
        let lease = |one: SilentLease| (one.worker.0, ceil_millis(one.remaining));
        Self {
            term: term.0,
            requested_ms: ceil_millis(snapshot.requested),
            inherited_ms: ceil_millis(snapshot.inherited),
            silent: snapshot.silent.into_iter().map(lease).collect(),
        }
    }

    /// Returns the term of the leader that wrote the record.
    pub fn term(&self) -> LeaderTerm {
        LeaderTerm(self.term)
    }
}

impl From<LeaseSnapshotWire> for LeaseSnapshot {
    fn from(wire: LeaseSnapshotWire) -> Self {
        let lease = |(worker, remaining_ms)| SilentLease {
            worker: WorkerId(worker),
            remaining: Duration::from_millis(remaining_ms),
        };
        Self {
            requested: Duration::from_millis(wire.requested_ms),
            inherited: Duration::from_millis(wire.inherited_ms),
            silent: wire.silent.into_iter().map(lease).collect(),
        }
    }
}

/// Returns a number of milliseconds that is not shorter than a time.
fn ceil_millis(time: Duration) -> u64 {
    whole_millis(time + Duration::from_nanos(999_999))
}
