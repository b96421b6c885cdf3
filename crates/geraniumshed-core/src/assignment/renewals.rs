//! Renewals of workers' leases. Their replies also report the workers' runs.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::{PlannerAction, PlannerTime};
use super::event::PlannerEvent;
use super::planner::JobPlanner;
use crate::job::WorkerId;
use crate::worker::{RenewRequest, RunPhase, SentRenewal, WorkerCall, WorkerEntry};

impl JobPlanner {
    /// Sets whether leases are prolonged, because a takeover by a successor would take long.
    pub fn prolong_leases(&mut self, is_prolonging: bool) {
        self.is_prolonging_leases = is_prolonging;
    }

    /// Renews all leases with the prolonged length, so that they last until a successor has taken
    /// over.
    pub fn hand_over(&mut self, now: PlannerTime) {
        self.is_prolonging_leases = true;
        self.is_handing_over = true;
        for entry in self.workers.values_mut() {
            entry.renewal = None;
            entry.next_renewal_at = TimePoint::default();
        }
        self.send_renewals(now.point);
    }

    /// Returns the length of the lease that calls to workers ask for now, or `None` if they may extend none.
    pub(super) fn lease_length(&self, now: TimePoint) -> Option<Duration> {
        let longest = self.longest_requested_lease();
        let length = if self.is_prolonging_leases {
            longest
        } else {
            self.settings.lease
        };
        self.order_permit.limit_lease(now, length, longest)
    }

    /// Returns the longest lease that any call of this planner asks for.
    pub(super) fn longest_requested_lease(&self) -> Duration {
        let settings = &self.settings;
        let longest = settings.prolonged_lease.max(settings.lease);
        longest.min(settings.longest_lease)
    }

    /// Forces an immediate renewal with a fencing token above those of all calls in flight, to
    /// learn which runs the worker has.
    pub(super) fn force_renewal(&mut self, worker: &WorkerId) {
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.raise_token();
            entry.renewal = None;
            entry.next_renewal_at = TimePoint::default();
        }
    }

    /// Delays the next renewal while ends of runs wait to be stored, because the worker replies at
    /// once as long as it has ends to report. The delay is limited so that a slow store doesn't
    /// keep the lease from being renewed.
    pub(super) fn delay_renewal(&mut self, now: TimePoint, worker: &WorkerId) {
        let delay = self.settings.unstored_renewal_delay;
        let entry = self.workers.get_mut(worker);
        if let Some(entry) = entry.filter(|entry| !entry.storing_ends.is_empty()) {
            entry.next_renewal_at = now + delay;
        }
    }

    /// Sends the renewals that are due.
    pub(super) fn send_renewals(&mut self, now: TimePoint) {
        let lease = self.lease_length(now);
        let longest_lease_end = self.longest_lease_end(now);
        self.sync_workers(now);
        for id in self.renewal_queue.due(now) {
            let Some(entry) = self.workers.get_mut(&id) else {
                continue;
            };
            let is_immediate = entry.unanswered_calls > 0
                || !entry.is_adopted
                || entry.clock.is_none()
                || entry.has_unsettled()
                || entry.later_process_seen_at.is_some()
                || self.is_handing_over;
            let wait = if is_immediate {
                Duration::ZERO
            } else if entry.has_interference() || entry.trial.is_some() || entry.needs_readings() {
                self.settings.latency_renewal_wait
            } else {
                self.settings.renewal_wait
            };
            // Calls whose replies are lost would extend the lease of a silent worker again and
            // again.
            let extension = lease.filter(|_| entry.unanswered_calls == 0);
            let deadline =
                extension.and_then(|length| entry.extend_lease(now, length, longest_lease_end));
            let sent = SentRenewal {
                sent_at: now,
                token: entry.token,
            };
            entry.renewal = Some(sent);
            if !entry.runs.is_empty() && entry.unanswered_calls == 0 {
                let gap = now.since(entry.read_at);
                let event = PlannerEvent::RenewalSent(gap);
                self.actions.push(PlannerAction::Event(event));
            }
            let body = RenewRequest {
                last_stored_end: entry.acknowledged_end(),
                deadline,
                wait,
            };
            let call = WorkerCall {
                worker: id,
                address: entry.listing.address,
                process: entry.renewed_process(&body),
                token: entry.token,
                body,
            };
            self.actions.push(PlannerAction::Renew(call, sent));
        }
    }
}

impl WorkerEntry {
    /// Returns whether the worker can be called. One that is only known from a stored placement
    /// has no address.
    pub(super) fn has_address(&self) -> bool {
        self.listing.address.port() != 0
    }

    /// Returns when the next renewal is due, unless one is in progress or the worker can't be called.
    pub(super) fn due_renewal(&self) -> Option<TimePoint> {
        let can_renew = self.renewal.is_none() && self.has_address();
        can_renew.then_some(self.next_renewal_at)
    }

    /// Makes a renewal due at a time, although the worker may still hold back an earlier one, because
    /// a run has come whose effects or speed have to be known soon.
    pub(super) fn read_soon(&mut self, due: TimePoint) {
        if self.unanswered_calls == 0 && self.renewal.take().is_some() {
            self.next_renewal_at = due;
        }
    }

    /// Returns whether the worker's runs have to be observed closely, since it is slow or about to leave.
    fn needs_readings(&self) -> bool {
        !self.runs.is_empty() && (self.track.is_slow() || self.listing.is_draining)
    }

    fn has_unsettled(&self) -> bool {
        self.runs
            .values()
            .any(|run| matches!(run.phase, RunPhase::Unsettled(_)))
    }
}
