//! Whether the planner may start tasks and extend leases.
//!
//! Workers reject the orders of a planner that has been replaced only once its successor has called
//! them. A planner whose process has stood still for long enough to be replaced has to find out first.

use std::time::Duration;

use super::planner::JobPlanner;

/// The time for which a process may stand still before a successor may have been elected. It is
/// shorter than the lifetime of a leader's membership.
const STALL_LIMIT: Duration = Duration::from_millis(700);

/// Whether the planner may start tasks and extend leases.
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
    pub fn suspend_orders(&mut self) {
        self.order_permit = OrderPermit::Suspended;
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

    /// Returns whether the planner may start tasks and extend leases.
    pub(super) fn may_order(&self) -> bool {
        self.order_permit == OrderPermit::Granted
    }

    /// Returns whether a batch has to be stored to find out whether a successor has taken over.
    pub(super) fn needs_confirmation(&self) -> bool {
        self.order_permit == OrderPermit::Suspended
    }

    /// Records that a batch is about to be stored.
    pub(super) fn begin_confirmation(&mut self, batch: u64) {
        if self.needs_confirmation() {
            self.order_permit = OrderPermit::Confirming(batch);
        }
    }

    /// Records that a batch is stored.
    pub(super) fn end_confirmation(&mut self, stored_batch: u64) {
        if let OrderPermit::Confirming(batch) = self.order_permit
            && batch <= stored_batch
        {
            self.order_permit = OrderPermit::Granted;
        }
    }
}
