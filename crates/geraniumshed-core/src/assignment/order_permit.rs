//! Whether the planner may start tasks and extend leases.
//!
//! Workers reject the orders of a planner that has been replaced only once its successor has called
//! them. A planner whose process has stood still for long enough to be replaced has to find out first.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::planner::JobPlanner;

/// The time for which a process may stand still before a successor may have been elected. It is
/// shorter than the lifetime of a leader's membership.
const STALL_LIMIT: Duration = Duration::from_millis(700);

/// The longest time between two batches while workers have runs. A planner that has been replaced, and
/// has nothing to store, learns of it from the next batch.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(700);

/// Whether the planner may start tasks.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) enum OrderPermit {
    /// It may.
    #[default]
    Granted,
    /// It may not until the store has accepted a batch that was taken from now on.
    Suspended,
    /// It may once the batch with this number is stored.
    Confirming(u64),
}

impl JobPlanner {
    /// Sends no starts and extends no leases until a later batch is stored, which proves that no
    /// successor has taken over.
    ///
    /// A confirmation that is under way goes on, so that a planner that is slow all the time gets one.
    pub fn suspend_orders(&mut self) {
        self.may_extend_leases = false;
        if self.order_permit == OrderPermit::Granted {
            self.order_permit = OrderPermit::Suspended;
        }
    }

    /// Allows leases to be extended, although starts may be suspended, since the store answers no node,
    /// so that none can have taken over.
    pub fn resume_leases(&mut self) {
        self.may_extend_leases = true;
    }

    /// Handles that the planner's process has not run for some time, and returns whether it may have been
    /// replaced meanwhile, so that orders are suspended.
    pub fn process_stalled(&mut self, stalled: Duration) -> bool {
        let may_be_replaced = stalled >= STALL_LIMIT;
        if may_be_replaced {
            self.suspend_orders();
        }
        may_be_replaced
    }

    /// Returns whether the planner may start tasks.
    pub(super) fn may_order(&self) -> bool {
        self.order_permit == OrderPermit::Granted
    }

    /// Returns whether a batch has to be stored to find out whether a successor has taken over.
    pub(super) fn needs_confirmation(&self) -> bool {
        self.order_permit == OrderPermit::Suspended || self.is_confirmation_due
    }

    /// Decides whether the planner has stored nothing for so long that it has to find out whether it
    /// was replaced.
    pub(super) fn watch_confirmation(&mut self, now: TimePoint) {
        let is_late = now.since(self.newest_batch_at) >= CONFIRMATION_INTERVAL;
        let mut workers = self.workers.values();
        self.is_confirmation_due = is_late && workers.any(|entry| !entry.runs.is_empty());
    }

    /// Records that a batch is about to be stored.
    pub(super) fn begin_confirmation(&mut self, now: TimePoint, batch: u64) {
        self.newest_batch_at = now;
        self.is_confirmation_due = false;
        if self.order_permit == OrderPermit::Suspended {
            self.order_permit = OrderPermit::Confirming(batch);
        }
    }

    /// Records that a batch is stored.
    pub(super) fn end_confirmation(&mut self, stored_batch: u64) {
        if let OrderPermit::Confirming(batch) = self.order_permit
            && batch <= stored_batch
        {
            self.order_permit = OrderPermit::Granted;
            self.may_extend_leases = true;
        }
    }
}
