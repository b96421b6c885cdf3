//! Evacuation of availability zones.
//!
//! No task starts in an evacuated zone. Its batch runs finish there. Its long-running runs move to
//! other zones, a few at a time, into capacity that no waiting step could use.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use super::action::PlannerTime;
use super::change_tracker::DeferredStart;
use super::evacuation::DueEvacuation;
use super::event::{PlannerEvent, ZoneMove};
use super::placement_pass::PlacementPass;
use super::planner::JobPlanner;
use crate::job::{JobId, ServiceName, StepKey, StepRequest, WorkerId};
use crate::site::ZoneEvacuations;
use crate::worker::{RunPhase, WorkerEntry};

/// The time from the start of an evacuation, as this planner learns of it, until the first
/// long-running run is moved. An evacuation that is cancelled sooner interrupts nothing.
const MOVE_DELAY: Duration = Duration::from_secs(5);
/// The number of a service's long-running runs that may move out of evacuated zones at the same time.
/// Each of them keeps a worker from taking other tasks.
const PARALLEL_MOVES: usize = 2;
/// The interval between two searches for runs to move. Each compares all workers.
const MOVE_INTERVAL: Duration = Duration::from_millis(500);

/// The state of evacuated zones, as the planner acts on it.
#[derive(Debug, Default)]
pub(super) struct ZoneLedger {
    /// The evacuated zones.
    pub(super) evacuations: ZoneEvacuations,
    /// When long-running runs may begin to move out of each evacuated zone.
    moves_from: BTreeMap<SmolStr, TimePoint>,
    /// The earliest time of the next search for runs to move.
    next_search: TimePoint,
    /// The evacuated zones without workers that were reported.
    reported_unknown: BTreeSet<SmolStr>,
}

impl ZoneLedger {
    /// Returns whether a worker belongs to an evacuated zone.
    pub(super) fn is_evacuated(&self, worker: &WorkerEntry) -> bool {
        self.evacuations.contains(&worker.listing.zone)
    }

    /// Returns whether runs may move out of a worker's zone.
    fn may_move_from(&self, now: TimePoint, worker: &WorkerEntry) -> bool {
        let from = self.moves_from.get(&worker.listing.zone);
        from.is_some_and(|from| *from <= now)
    }
}

impl JobPlanner {
    /// Applies a newer state of the evacuated zones, which holds for all starts from now on.
    pub fn replace_evacuations(&mut self, now: PlannerTime, newer: ZoneEvacuations) {
        let Some(change) = self.zones.evacuations.replace(newer) else {
            return;
        };
        for zone in &change.begun {
            let from = now.point + MOVE_DELAY;
            self.zones.moves_from.insert(zone.clone(), from);
        }
        for zone in &change.ended {
            self.zones.moves_from.remove(zone);
            self.zones.reported_unknown.remove(zone);
        }
        if change.is_empty() {
            return;
        }
        let workers = self.workers.iter();
        let affected: Vec<WorkerId> = workers
            .filter(|(_, worker)| change.zones().any(|zone| *zone == worker.listing.zone))
            .map(|(id, _)| id.clone())
            .collect();
        for id in affected {
            // Notes the change, so that what is derived from the worker is updated.
            self.workers.get_mut(&id);
        }
        self.report_unknown_zones();
        self.is_placement_due = true;
    }

    /// Reports each evacuated zone that has no registered worker, once the registrations were read.
    pub(super) fn report_unknown_zones(&mut self) {
        if !self.has_listing || self.zones.evacuations.is_empty() {
            return;
        }
        let is_known = |zone: &SmolStr| self.workers.values().any(|one| one.listing.zone == *zone);
        let unknown: Vec<SmolStr> = (self.zones.evacuations.iter())
            .filter(|zone| !self.zones.reported_unknown.contains(*zone) && !is_known(zone))
            .cloned()
            .collect();
        for zone in unknown {
            self.zones.reported_unknown.insert(zone.clone());
            self.emit(PlannerEvent::ZoneUnknown(zone));
        }
    }

    /// Returns the number of workers outside evacuated zones.
    pub(super) fn usable_worker_count(&self) -> usize {
        self.workers.len() - self.worker_index.evacuated_count()
    }

    /// Drops the runs on workers in evacuated zones whose starts were about to be sent, with all
    /// members of their gangs, and returns the other starts. A zone may have been evacuated while the
    /// placements were being stored.
    pub(super) fn drop_evacuated_starts(
        &mut self,
        now: PlannerTime,
        starts: Vec<DeferredStart>,
    ) -> Vec<DeferredStart> {
        if self.zones.evacuations.is_empty() {
            return starts;
        }
        let evacuated = starts.iter().filter(|start| {
            let worker = self.workers.get(&start.worker);
            worker.is_some_and(|worker| self.zones.is_evacuated(worker))
        });
        let steps: BTreeSet<(StepKey, u32, Option<u32>)> =
            evacuated.map(|start| self.start_group(start)).collect();
        let (dropped, kept): (Vec<_>, Vec<_>) = starts
            .into_iter()
            .partition(|start| steps.contains(&self.start_group(start)));
        for start in dropped {
            let worker = self.workers.get(&start.worker);
            let run = worker.and_then(|worker| worker.runs.get(&start.task));
            if run.is_some_and(|run| run.run == start.run && run.phase == RunPhase::Storing) {
                self.drop_run(now, &start.worker, start.task, start.run, "zone evacuated");
            }
        }
        kept
    }

    /// Returns what starts have in common that are sent together or not at all: the members of a gang,
    /// or a single task.
    fn start_group(&self, start: &DeferredStart) -> (StepKey, u32, Option<u32>) {
        let step = self.step_request(start.task.job, start.task.step);
        let is_gang = step.is_some_and(|step| step.is_gang);
        let index = (!is_gang).then_some(start.task.index);
        (start.task.into(), start.run, index)
    }

    /// Moves long-running runs out of evacuated zones, as far as the services have capacity that no
    /// other task waits for.
    pub(super) fn move_from_evacuated_zones(
        &mut self,
        now: PlannerTime,
        pass: &mut PlacementPass,
        leaving: &BTreeSet<ServiceName>,
    ) {
        let is_due = self.zones.next_search <= now.point;
        if self.zones.evacuations.is_empty() || !is_due || pass.is_exhausted() {
            return;
        }
        self.zones.next_search = now.point + MOVE_INTERVAL;
        let due = self.due_zone_moves(now);
        if due.is_empty() {
            return;
        }
        let mut wanted = self.services_with_waiting_steps(pass);
        wanted.extend(leaving.iter().cloned());
        self.sync_workers(now.point);
        for move_out in due {
            let Some(service) = self.service_of(move_out.task.job) else {
                continue;
            };
            if wanted.contains(&service) || self.zone_move_count(&service) >= PARALLEL_MOVES {
                continue;
            }
            if let Some(target) = self.evacuate(now, &move_out, pass) {
                self.sync_workers(now.point);
                self.emit(PlannerEvent::ZoneMoveBegun(ZoneMove {
                    task: move_out.task,
                    worker: move_out.worker,
                    target,
                }));
            }
        }
    }

    /// Returns the long-running runs that may move out of evacuated zones, in the order of their ranks.
    /// Workers that are about to leave are evacuated without regard to their zone.
    fn due_zone_moves(&self, now: PlannerTime) -> Vec<DueEvacuation> {
        let workers = self.worker_index.evacuated();
        let workers = workers.filter_map(|id| self.workers.get(id));
        let movable = workers.filter(|one| {
            !one.listing.is_draining
                && one.is_answering()
                && self.zones.may_move_from(now.point, one)
        });
        let mut due: Vec<DueEvacuation> = movable
            .flat_map(|worker| self.evacuable_runs(now, worker))
            .collect();
        due.sort_unstable();
        due
    }

    /// Returns the services with a step that waits for capacity which it could find outside the
    /// evacuated zones.
    fn services_with_waiting_steps(&self, pass: &PlacementPass) -> BTreeSet<ServiceName> {
        let mut services = BTreeSet::new();
        for ready in pass.waiting_steps() {
            let Some(service) = self.service_of(ready.job) else {
                continue;
            };
            let step = self.step_request(ready.job, ready.step);
            if !services.contains(&service)
                && step.is_some_and(|step| self.fits_outside_evacuated_zones(&service, step))
            {
                services.insert(service);
            }
        }
        services
    }

    /// Returns whether a worker outside the evacuated zones could take a task of a step if it were empty.
    fn fits_outside_evacuated_zones(&self, service: &ServiceName, step: &StepRequest) -> bool {
        let size = step.reserved_size();
        let label = step.required_label.as_ref();
        self.workers.values().any(|worker| {
            worker.is_listed
                && worker.listing.service == *service
                && !self.zones.is_evacuated(worker)
                && size.fits(&worker.listing.capacity)
                && label.is_none_or(|label| worker.listing.labels.contains(label))
        })
    }

    /// Returns the number of a service's runs that are moving out of evacuated zones.
    fn zone_move_count(&self, service: &ServiceName) -> usize {
        let moving = self.held_workers.keys().filter(|key| {
            self.service_of(key.job).as_ref() == Some(service) && self.is_being_evacuated(**key)
        });
        moving.count()
    }

    fn service_of(&self, job: JobId) -> Option<ServiceName> {
        let job = self.jobs.get(&job)?;
        let policy = self.queues.policy(&job.request.queue)?;
        Some(policy.service.clone())
    }

    fn step_request(&self, job: JobId, step: u32) -> Option<&StepRequest> {
        let job = self.jobs.get(&job)?;
        job.request.steps.get(step as usize)
    }

    /// Returns the services with runs that have to leave their workers.
    pub(super) fn services_of<'a>(
        &self,
        due: impl Iterator<Item = &'a DueEvacuation>,
    ) -> BTreeSet<ServiceName> {
        due.filter_map(|one| self.service_of(one.task.job))
            .collect()
    }
}
