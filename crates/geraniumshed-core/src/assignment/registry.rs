//! The known workers, from their registrations and from stored placements.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

use geraniumshed_model::prelude::{ResourceSize, TimePoint};

use super::action::PlannerTime;
use super::event::RestartSign;
use super::planner::JobPlanner;
use super::starting::run_entry;
use crate::job::{JobEntry, ServiceName, TaskKey, TaskPhase, WorkerId};
use crate::worker::{FenceToken, RunPhase, WorkerChange, WorkerEntry, WorkerListing};

impl JobPlanner {
    /// Replaces the list of registered workers. Workers that are missing in it get no new tasks.
    pub fn replace_workers(&mut self, now: PlannerTime, listings: Vec<WorkerListing>) {
        let listed: BTreeSet<WorkerId> = listings.iter().map(|one| one.id.clone()).collect();
        for entry in self.workers.values_mut() {
            entry.is_listed = listed.contains(entry.id());
        }
        for listing in listings {
            let id = listing.id.clone();
            self.upsert_worker(now, listing);
            self.update_notice(now.point, &id);
        }
        self.has_listing = true;
        self.report_unknown_zones();
        self.report_departures(now.point);
        self.is_placement_due = true;
    }

    /// Applies changes to the registered workers.
    pub fn update_workers(&mut self, now: PlannerTime, changes: Vec<WorkerChange>) {
        for change in changes {
            match change {
                WorkerChange::Listed(listing) => {
                    let id = listing.id.clone();
                    self.upsert_worker(now, listing);
                    self.update_notice(now.point, &id);
                    self.report_departure(now.point, &id);
                }
                WorkerChange::Gone(id) => {
                    self.learn_notice(now.point, &id);
                    if let Some(entry) = self.workers.get_mut(&id) {
                        entry.is_listed = false;
                    }
                    self.report_departure(now.point, &id);
                }
            }
        }
    }

    /// Adds a worker, or updates the registration of a known one.
    fn upsert_worker(&mut self, now: PlannerTime, listing: WorkerListing) {
        let lease_expires_at = self.inherited_lease_end(now.point);
        if let Some(entry) = self.workers.get_mut(&listing.id) {
            entry.is_listed = true;
            let id = listing.id.clone();
            let names_another = entry.listing.incarnation != listing.incarnation;
            self.is_placement_due |= entry.update_listing(listing);
            if names_another && entry.is_registered_as_later() {
                self.expect_restart(now.point, &id, RestartSign::Registration);
            }
            return;
        }
        self.prove_losses_by_address(now, listing.address);
        let mut entry = WorkerEntry::new(listing, self.first_token, lease_expires_at);
        entry.contact.known_since = now.point;
        entry.up_since = now.point;
        entry.has_stored_lease = self.lease_ledger.contains(entry.id());
        let id = entry.id().clone();
        self.workers.insert(entry);
        self.inherit_track(now.point, &id);
        self.is_placement_due = true;
    }

    /// Restores a run that an earlier planner placed. The run is kept until the worker's list of
    /// runs settles its state or the worker's lease expires.
    pub(super) fn restore_run(&mut self, now: TimePoint, job: &JobEntry, key: TaskKey) {
        let Some(task) = job.task(key) else {
            return;
        };
        let TaskPhase::Placed(id) = &task.phase else {
            return;
        };
        let Some(step) = job.request.steps.get(key.step as usize) else {
            return;
        };
        let lease_expires_at = self.restored_lease_end(now, id);
        let unconfirmed_until = self.unconfirmed_run_end(key);
        let token = self.first_token;
        let entry = self.workers.get_or_insert_with(id, || {
            unregistered_worker(id.clone(), now, token, lease_expires_at)
        });
        let phase = RunPhase::Unsettled(FenceToken(token.0.saturating_sub(1)));
        let mut run = run_entry(step, task.run, phase, now);
        run.unconfirmed_until = unconfirmed_until;
        entry.add_run(key, run);
    }
}

/// Creates a worker that is only known from a stored placement.
fn unregistered_worker(
    id: WorkerId,
    now: TimePoint,
    token: FenceToken,
    lease_expires_at: TimePoint,
) -> WorkerEntry {
    let listing = WorkerListing {
        id,
        service: ServiceName::from(""),
        address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        zone: "".into(),
        incarnation: None,
        capacity: ResourceSize::default(),
        labels: Vec::new(),
        rack: None,
        is_draining: false,
        leaves_in: None,
    };
    let mut entry = WorkerEntry::new(listing, token, lease_expires_at);
    entry.is_listed = false;
    entry.contact.known_since = now;
    entry.up_since = now;
    entry
}
