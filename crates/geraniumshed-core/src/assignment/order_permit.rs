//! Whether the planner may start tasks and extend leases.
//!
//! Workers reject the orders of a planner that has been replaced only once its successor has called
//! them. A planner whose process has stood still for long enough to be replaced has to find out first.
//!
//! A successor that doesn't reach a worker counts its lease from the takeover on. So no lease ends later than
//! the longest requested one that begins when the planner is known to have led: any takeover comes after that.

use std::collections::VecDeque;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::planner::JobPlanner;

/// The time for which a process may stand still before a successor may have been elected. It is
/// shorter than the lifetime of a leader's membership.
const STALL_LIMIT: Duration = Duration::from_millis(700);

/// The longest time between two batches while workers have runs. A planner that has been replaced, and
/// has nothing to store, learns of it from the next batch.
const CONFIRMATION_INTERVAL: Duration = Duration::from_millis(700);

/// Tracks whether the planner may start tasks and extend leases.
#[derive(Debug)]
pub(super) struct OrderPermit {
    starts: StartPermit,
    /// Whether the planner may extend leases.
    may_extend_leases: bool,
    /// When orders were last suspended.
    suspended_at: TimePoint,
    /// When the newest batch was taken.
    newest_batch_at: TimePoint,
    /// Whether the planner has stored nothing for too long.
    is_batch_overdue: bool,
    /// The latest time at which no successor can have taken over, as far as is known.
    led_at: TimePoint,
    /// The batches that aren't stored yet, with the times at which they were taken.
    unstored: VecDeque<(u64, TimePoint)>,
}

/// Whether the planner may start tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StartPermit {
    /// It may.
    Granted,
    /// It may not until the store has accepted a batch that was taken from now on.
    Suspended,
    /// It may once the batch with this number is stored.
    Confirming(u64),
}

impl Default for OrderPermit {
    fn default() -> Self {
        Self {
            starts: StartPermit::Granted,
            may_extend_leases: true,
            suspended_at: TimePoint::default(),
            newest_batch_at: TimePoint::default(),
            is_batch_overdue: false,
            led_at: TimePoint::default(),
            unstored: VecDeque::new(),
        }
    }
}

impl OrderPermit {
    /// Returns whether the planner may start tasks.
    pub(super) fn may_start(&self) -> bool {
        self.starts == StartPermit::Granted
    }

    /// Returns for how long a lease of the given length may last that is extended now, or `None` if none
    /// may be extended.
    pub(super) fn limit_lease(
        &self,
        now: TimePoint,
        length: Duration,
        longest: Duration,
    ) -> Option<Duration> {
        let remaining = (self.led_at + longest).since(now);
        let limited = length.min(remaining);
        (self.may_extend_leases && !limited.is_zero()).then_some(limited)
    }

    /// Returns whether the store has left a batch unanswered for a time, or starts are suspended until it
    /// answers.
    pub(super) fn is_store_silent(&self, now: TimePoint, limit: Duration) -> bool {
        let oldest = self.unstored.front();
        !self.may_start() || oldest.is_some_and(|(_, taken_at)| now.since(*taken_at) > limit)
    }

    /// Records that no successor can have taken over by a given time.
    fn confirm(&mut self, led_at: TimePoint) {
        self.led_at = self.led_at.max(led_at);
    }

    /// Returns whether a batch has to be stored to find out whether a successor has taken over.
    pub(super) fn needs_batch(&self) -> bool {
        self.starts == StartPermit::Suspended || self.is_batch_overdue
    }

    /// Records that a batch is about to be stored.
    pub(super) fn batch_taken(&mut self, now: TimePoint, number: u64) {
        self.newest_batch_at = now;
        self.unstored.push_back((number, now));
        self.is_batch_overdue = false;
        if self.starts == StartPermit::Suspended {
            self.starts = StartPermit::Confirming(number);
        }
    }

    /// Records that all batches up to a number are stored.
    pub(super) fn batch_stored(&mut self, number: u64) {
        while let Some((_, taken_at)) = self.unstored.pop_front_if(|(batch, _)| *batch <= number) {
            self.confirm(taken_at);
        }
        if let StartPermit::Confirming(batch) = self.starts
            && batch <= number
        {
            self.starts = StartPermit::Granted;
            self.may_extend_leases = true;
        }
    }
}

impl JobPlanner {
    /// Sends no starts and extends no leases until a later batch is stored, which proves that no
    /// successor has taken over.
    ///
    /// A confirmation that is under way goes on, so that a planner that is slow all the time gets one.
    pub fn suspend_orders(&mut self, now: TimePoint) {
        let permit = &mut self.order_permit;
        permit.may_extend_leases = false;
        permit.suspended_at = now;
        if permit.may_start() {
            permit.starts = StartPermit::Suspended;
        }
    }

    /// Records that no successor can have taken over by a given time: the planner's own claim was stored
    /// after it.
    pub fn confirm_lead(&mut self, led_at: TimePoint) {
        self.order_permit.confirm(led_at);
    }

    /// Allows leases to be extended, although starts may be suspended, since no successor had taken over by
    /// a given time. A time before the planner was suspended proves nothing.
    pub fn resume_leases(&mut self, led_at: TimePoint) {
        if led_at > self.order_permit.suspended_at {
            self.order_permit.may_extend_leases = true;
            self.order_permit.confirm(led_at);
        }
    }

    /// Handles that the planner's process has not run for some time, and returns whether it may have been
    /// replaced meanwhile, so that orders are suspended.
    pub fn process_stalled(&mut self, now: TimePoint, stalled: Duration) -> bool {
        let may_be_replaced = stalled >= STALL_LIMIT;
        if may_be_replaced {
            self.suspend_orders(now);
        }
        may_be_replaced
    }

    /// Decides whether the planner has stored nothing for so long that it has to find out whether it
    /// was replaced.
    pub(super) fn watch_batches(&mut self, now: TimePoint) {
        let is_late = now.since(self.order_permit.newest_batch_at) >= CONFIRMATION_INTERVAL;
        let mut workers = self.workers.values();
        self.order_permit.is_batch_overdue = is_late && workers.any(|entry| !entry.runs.is_empty());
    }
}
