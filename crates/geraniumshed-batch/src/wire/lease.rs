//! The stored form of the leases of silent workers.

use std::time::Duration;

use geraniumshed_core::assignment::{LeaseSnapshot, SilentLease};
use geraniumshed_core::job::WorkerId;
use geraniumshed_core::leadership::LeaderTerm;
use geraniumshed_model::prelude::whole_millis;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// The leases of silent workers, as they are stored.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseSnapshotWire {
    /// The term of the leader that wrote the record.
    term: u64,
    /// Each silent worker, and the time until its lease has expired, in milliseconds.
    leases: Vec<(SmolStr, u64)>,
}

impl LeaseSnapshotWire {
    /// Creates the stored form of a snapshot that the leader of a term took.
    pub fn new(term: LeaderTerm, snapshot: LeaseSnapshot) -> Self {
        let lease = |one: SilentLease| (one.worker.0, whole_millis(one.remaining) + 1);
        Self {
            term: term.0,
            leases: snapshot.leases.into_iter().map(lease).collect(),
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
            leases: wire.leases.into_iter().map(lease).collect(),
        }
    }
}
