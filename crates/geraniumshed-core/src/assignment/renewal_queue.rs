//! The workers by when the renewals of their leases are due.

use std::collections::{BTreeMap, BTreeSet};

use geraniumshed_model::prelude::TimePoint;

use crate::job::WorkerId;

/// The workers that wait for their next renewal, by when it is due.
#[derive(Debug, Clone, Default)]
pub(super) struct RenewalQueue {
    by_time: BTreeSet<(TimePoint, WorkerId)>,
    times: BTreeMap<WorkerId, TimePoint>,
}

impl RenewalQueue {
    /// Sets when the next renewal of a worker is due, or that none is.
    pub(super) fn set(&mut self, worker: &WorkerId, due: Option<TimePoint>) {
        let previous = match due {
            Some(due) => self.times.insert(worker.clone(), due),
            None => self.times.remove(worker),
        };
        if previous == due {
            return;
        }
        if let Some(previous) = previous {
            self.by_time.remove(&(previous, worker.clone()));
        }
        if let Some(due) = due {
            self.by_time.insert((due, worker.clone()));
        }
    }

    /// Returns the workers whose renewals are due, the longest due first.
    pub(super) fn due(&self, now: TimePoint) -> Vec<WorkerId> {
        let due = self.by_time.iter().take_while(|(at, _)| *at <= now);
        due.map(|(_, worker)| worker.clone()).collect()
    }
}
