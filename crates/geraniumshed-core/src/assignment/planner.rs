//! The planner's state and the operations on jobs.

use std::cell::Cell;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, whole_millis};

use super::action::{
    CancelOutcome, JobStatus, PlannerAction, PlannerTime, StoreBatch, StoreChange,
};
use super::advice::AdviceTable;
use super::backlog::Backlog;
use super::change_tracker::ChangeTracker;
use super::departing_runs::NoticeHabit;
use super::event::{JobSummary, PlannerEvent};
use super::forecast::ForecastRecord;
use super::improvement_log::{FailedSearch, ImprovementLog};
use super::interference::{InterferenceModel, InterferenceSnapshot};
use super::lease_ledger::LeaseLedger;
use super::locality_wait::WaitingStep;
use super::model_schedule::ModelSchedule;
use super::order_permit::OrderPermit;
use super::peer_speeds::PeerSpeeds;
use super::planner_work::PlannerWork;
use super::rank::allowed_time;
use super::renewal_queue::RenewalQueue;
use super::settings::PlannerSettings;
use super::silence_log::SilenceLog;
use super::start_window::StartWindow;
use super::stragglers::ActiveMove;
use super::track_ledger::TrackLedger;
use super::unproved_loss::UnprovedLosses;
use super::wait_ledger::WaitLedger;
use super::worker_index::WorkerIndex;
use super::worker_speed::FleetAssessment;
use super::zone_evacuation::ZoneLedger;
use crate::job::{
    JobEntry, JobId, JobPhase, JobRequest, QueueName, QueuePolicy, QueueTable, StepKey, StoredJob,
    TaskKey, TaskPhase, WorkerId,
};
use crate::worker::{FenceToken, SentRenewal, WorkerTable};

/// Starts, stops and paces all tasks.
///
/// At most one planner may be active at a time. Its fencing token is higher than those of all
/// earlier planners, so workers reject calls that those may still send.
#[derive(Debug)]
pub struct JobPlanner {
    pub(super) settings: PlannerSettings,
    /// The fencing token of the first call to a worker.
    pub(super) first_token: FenceToken,
    pub(super) queues: QueueTable,
    pub(super) jobs: BTreeMap<JobId, JobEntry>,
    /// The ended jobs whose requests haven't arrived: those that were cancelled before, and those of
    /// earlier planners whose requests are deleted or are not shown yet.
    ended_without_request: BTreeMap<JobId, StoredJob>,
    /// The jobs that haven't ended.
    pub(super) open_jobs: BTreeSet<JobId>,
    /// The open jobs that may have tasks to place.
    pub(super) jobs_to_place: BTreeSet<JobId>,
    /// The open jobs with occurrences that haven't begun.
    pub(super) jobs_to_begin: BTreeSet<JobId>,
    pub(super) workers: WorkerTable,
    pub(super) worker_index: WorkerIndex,
    /// The evacuated availability zones.
    pub(super) zones: ZoneLedger,
    pub(super) backlog: Backlog,
    pub(super) renewal_queue: RenewalQueue,
    /// The workers with ends that wait to be stored.
    pub(super) storing_workers: BTreeSet<WorkerId>,
    pub(super) improvement_log: ImprovementLog,
    /// The newest search that failed for each step with waiting tasks.
    pub(super) failed_searches: BTreeMap<StepKey, FailedSearch>,
    /// Whether all registrations of workers have been read.
    pub(super) has_listing: bool,
    pub(super) change_tracker: ChangeTracker,
    pub(super) start_window: StartWindow,
    /// Whether the newest placement pass left startable tasks for when starts are answered.
    pub(super) is_window_full: bool,
    pub(super) lease_ledger: LeaseLedger,
    pub(super) wait_ledger: WaitLedger,
    /// The steps that wait for places in a rack.
    pub(super) locality_waits: BTreeMap<StepKey, WaitingStep>,
    pub(super) track_ledger: TrackLedger,
    pub(super) silence_log: SilenceLog,
    pub(super) unproved_losses: UnprovedLosses,
    pub(super) interference: InterferenceModel,
    pub(super) peer_speeds: PeerSpeeds,
    pub(super) fleet: FleetAssessment,
    pub(super) notice_habit: NoticeHabit,
    /// The runs that are being stopped to be moved to other workers.
    pub(super) active_moves: Vec<ActiveMove>,
    pub(super) advice: AdviceTable,
    pub(super) actions: Vec<PlannerAction>,
    /// The work done so far.
    pub(super) work: PlannerWork,
    /// The number of workers that searches looked at.
    pub(super) compared_workers: Cell<u64>,
    /// Whether calls to workers ask for the prolonged lease.
    pub(super) is_prolonging_leases: bool,
    pub(super) order_permit: OrderPermit,
    pub(super) forecast: ForecastRecord,
    /// Whether this planner is handing over to a successor.
    pub(super) is_handing_over: bool,
    /// The workers that are held for long-running tasks that found no room or are evacuated.
    pub(super) held_workers: BTreeMap<TaskKey, WorkerId>,
    /// Whether something that affects placement has changed since tasks were last placed.
    pub(super) is_placement_due: bool,
    /// The earliest time of the next search for a worker to hold for a task that has never run.
    pub(super) next_hold_search: TimePoint,
    /// The same for a task that was running already.
    pub(super) next_restart_search: TimePoint,
    next_watch: TimePoint,
    next_cleanup: TimePoint,
    /// When the interference model is stored.
    model_schedule: ModelSchedule,
}

/// The interval between two checks for expired leases and stalled runs.
const WATCH_INTERVAL: Duration = Duration::from_millis(40);
/// The interval between two searches for ended jobs whose retention time is over.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

impl JobPlanner {
    /// Creates a planner whose calls carry the given fencing token or higher ones.
    pub fn new(settings: PlannerSettings, first_token: FenceToken) -> Self {
        Self {
            lease_ledger: LeaseLedger::new(settings.longest_lease),
            settings,
            first_token,
            queues: QueueTable::default(),
            jobs: BTreeMap::new(),
            ended_without_request: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            jobs_to_place: BTreeSet::new(),
            jobs_to_begin: BTreeSet::new(),
            workers: WorkerTable::default(),
            worker_index: WorkerIndex::default(),
            zones: ZoneLedger::default(),
            backlog: Backlog::default(),
            renewal_queue: RenewalQueue::default(),
            storing_workers: BTreeSet::new(),
            improvement_log: ImprovementLog::default(),
            failed_searches: BTreeMap::new(),
            has_listing: false,
            change_tracker: ChangeTracker::default(),
            start_window: StartWindow::default(),
            is_window_full: false,
            wait_ledger: WaitLedger::default(),
            locality_waits: BTreeMap::new(),
            track_ledger: TrackLedger::default(),
            silence_log: SilenceLog::default(),
            unproved_losses: UnprovedLosses::default(),
            interference: InterferenceModel::default(),
            peer_speeds: PeerSpeeds::default(),
            fleet: FleetAssessment::default(),
            notice_habit: NoticeHabit::default(),
            active_moves: Vec::new(),
            advice: AdviceTable::default(),
            actions: Vec::new(),
            work: PlannerWork::default(),
            compared_workers: Cell::new(0),
            is_prolonging_leases: false,
            order_permit: OrderPermit::default(),
            forecast: ForecastRecord::default(),
            is_handing_over: false,
            held_workers: BTreeMap::new(),
            is_placement_due: false,
            next_hold_search: TimePoint::default(),
            next_restart_search: TimePoint::default(),
            next_watch: TimePoint::default(),
            next_cleanup: TimePoint::default(),
            model_schedule: ModelSchedule::default(),
        }
    }

    /// Replaces the queues and their policies.
    pub fn replace_queues(&mut self, queues: BTreeMap<QueueName, QueuePolicy>) {
        self.queues.replace(queues);
        self.is_placement_due = true;
    }

    /// Restores the policies of queues that earlier planners stored, since a configuration in force may
    /// have removed them.
    pub fn restore_queues(&mut self, stored: BTreeMap<QueueName, QueuePolicy>) {
        self.queues.restore(stored);
    }

    /// Restores a job that an earlier planner left in the store.
    pub fn restore(&mut self, now: PlannerTime, id: JobId, request: JobRequest, stored: StoredJob) {
        let job = JobEntry::restore(id, request, stored);
        for key in job.placed_tasks() {
            self.restore_run(now.point, &job, key);
        }
        if !job.phase.is_final() {
            self.open_job(id, &job.request.queue);
        }
        self.jobs.insert(id, job);
    }

    /// Adds a job whose request is stored. Does nothing if the job is already known.
    pub fn submit(&mut self, id: JobId, request: JobRequest) {
        if self.jobs.contains_key(&id) {
            return;
        }
        if let Some(stored) = self.ended_without_request.remove(&id) {
            self.jobs.insert(id, JobEntry::restore(id, request, stored));
            return;
        }
        let job = JobEntry::new(id, request);
        self.open_job(id, &job.request.queue);
        self.jobs.insert(id, job);
    }

    /// Restores the interference model of an earlier planner.
    pub fn restore_interference(&mut self, snapshot: InterferenceSnapshot) {
        self.interference = InterferenceModel::restore(snapshot);
    }

    /// Restores an ended job whose request hasn't arrived.
    pub fn restore_ended(&mut self, id: JobId, stored: StoredJob) {
        self.ended_without_request.insert(id, stored);
    }

    /// Cancels a job.
    ///
    /// The cancellation of an unknown job is kept too, because the job may have been submitted and
    /// not have arrived yet.
    pub fn cancel(&mut self, now: PlannerTime, id: JobId) -> CancelOutcome {
        let Some(job) = self.jobs.get(&id) else {
            if let Entry::Vacant(entry) = self.ended_without_request.entry(id) {
                entry.insert(StoredJob::cancelled(now.unix_ms));
                self.change_tracker.mark_changed(id);
            }
            return match self.change_tracker.unstored_batch(id) {
                Some(batch) => CancelOutcome::WithdrawnBy(batch),
                None => CancelOutcome::Unknown,
            };
        };
        // If the planner fails before the end is stored, the job is still open for its successor.
        if job.phase.is_final() && self.change_tracker.unstored_batch(id).is_none() {
            return CancelOutcome::AlreadyEnded;
        }
        if !job.phase.is_final() {
            self.end_job(now, id, JobPhase::Cancelled);
        }
        CancelOutcome::StoredBy(self.change_tracker.mark_changed(id))
    }

    /// Returns the status of a job that clients may see.
    pub fn status(&self, id: JobId) -> JobStatus {
        let Some(job) = self.jobs.get(&id) else {
            return self.status_without_request(id);
        };
        // Reports an end only once it is stored, so that no later planner can undo it.
        if job.phase.is_final() && self.change_tracker.unstored_batch(id).is_some() {
            return JobStatus::Known(JobPhase::Running);
        }
        JobStatus::Known(job.phase)
    }

    /// Returns the status of a job whose request hasn't arrived. One that was cancelled before is as
    /// unknown as one that never existed.
    fn status_without_request(&self, id: JobId) -> JobStatus {
        match self.ended_without_request.get(&id) {
            Some(stored) if stored.phase != JobPhase::Cancelled => JobStatus::Known(stored.phase),
            Some(_) | None => JobStatus::Unknown,
        }
    }

    /// Returns the number of jobs in a queue of which no task is known to have started.
    pub fn pending_count(&self, queue: &QueueName) -> usize {
        self.open_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.phase == JobPhase::Queued && job.request.queue == *queue)
            .count()
    }

    /// Returns the number of known workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns the work that the planner has done so far.
    pub fn work(&self) -> PlannerWork {
        PlannerWork {
            compared_workers: self.compared_workers.get(),
            ..self.work
        }
    }

    /// Returns whether there are changes to store.
    pub fn has_changes(&self) -> bool {
        self.change_tracker.has_changes()
            || self.lease_ledger.is_due()
            || self.wait_ledger.is_due()
            || self.track_ledger.is_due()
            || self.queues.has_changes()
            || self.order_permit.needs_batch()
    }

    /// Returns whether a renewal carried the newest fencing token that this planner used for a
    /// worker.
    pub fn is_newest_token(&self, worker: &WorkerId, sent: SentRenewal) -> bool {
        let entry = self.workers.get(worker);
        entry.is_some_and(|entry| entry.token == sent.token)
    }

    /// Takes the changes that have to be stored, if there are any.
    pub fn take_batch(&mut self, now: PlannerTime) -> Option<StoreBatch> {
        if !self.has_changes() {
            return None;
        }
        let batch = self.change_tracker.take_batch();
        let number = batch.number;
        if self.order_permit.needs_batch() {
            self.lease_ledger.request_snapshot();
        }
        self.order_permit.batch_taken(now.point, number);
        let progress = batch.changed.into_iter().filter_map(|id| {
            let stored = match self.jobs.get(&id) {
                Some(job) => job.stored(),
                None => self.ended_without_request.get(&id)?.clone(),
            };
            Some(StoreChange::Progress(id, stored))
        });
        let forgotten = batch.forgotten.into_iter().map(StoreChange::Forget);
        let mut changes: Vec<StoreChange> = progress.chain(forgotten).collect();
        for id in batch.crashes_changed {
            changes.extend(self.crash_change(id));
        }
        if self.model_schedule.take_due(now.point) {
            changes.push(StoreChange::Interference(self.interference.snapshot()));
        }
        let leases = self.take_lease_snapshot(now.point, number);
        changes.extend(leases.map(StoreChange::Leases));
        let waits = self.take_wait_snapshot();
        changes.extend(waits.map(StoreChange::Waits));
        let tracks = self.take_track_snapshot(now.point);
        changes.extend(tracks.map(StoreChange::Tracks));
        let queues = self.queues.take_changes().into_iter();
        changes.extend(queues.map(|(queue, policy)| StoreChange::Queue(queue, policy)));
        Some(StoreBatch { number, changes })
    }

    /// Handles the confirmation that all batches up to the given number are stored.
    pub fn batch_stored(&mut self, now: PlannerTime, number: u64) {
        let starts = self.change_tracker.mark_stored(number);
        self.order_permit.batch_stored(number);
        for start in self.drop_evacuated_starts(now, starts) {
            if self.order_permit.may_start() {
                self.send_start(now, start);
            } else {
                self.change_tracker.defer_start(start);
            }
        }
        self.ends_stored(now.point, number);
        self.lease_snapshots_stored(number);
    }

    /// Does all work that is due at the given time, and places tasks if anything has changed.
    pub fn advance(&mut self, now: PlannerTime) {
        self.model_schedule.begin(now.point);
        if self.next_watch <= now.point {
            self.next_watch = now.point + WATCH_INTERVAL;
            self.release_expired_workers(now);
            self.watch_runs(now);
            self.assess_fleet(now);
            self.move_departing_runs(now);
            self.assess_silent_workers(now.point);
            self.watch_leases(now.point);
            self.watch_waits(now.point);
            self.watch_tracks(now.point);
            self.watch_batches(now.point);
            self.begin_occurrences(now);
        }
        if self.is_placement_due {
            self.begin_occurrences(now);
            self.is_placement_due = false;
            self.place_tasks(now);
        }
        self.send_renewals(now.point);
        if self.next_cleanup <= now.point {
            self.next_cleanup = now.point + CLEANUP_INTERVAL;
            self.forget_old_jobs(now);
        }
    }

    /// Requests a placement at the next [`advance`](Self::advance), since waiting tasks may become
    /// placeable as time passes, without any other event.
    pub fn request_placement(&mut self) {
        self.is_placement_due = true;
    }

    /// Takes the actions that are due.
    pub fn take_actions(&mut self) -> Vec<PlannerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Ends a job and stops its runs.
    pub(super) fn end_job(&mut self, now: PlannerTime, id: JobId, phase: JobPhase) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let placed = job.placed_tasks();
        job.phase = phase;
        job.ended_unix_ms = now.unix_ms;
        if job.has_stored_crashes {
            self.change_tracker.mark_crashes_changed(id);
        }
        if self.open_jobs.remove(&id) {
            self.queues.job_closed(&job.request.queue);
        }
        self.jobs_to_place.remove(&id);
        self.jobs_to_begin.remove(&id);
        self.failed_searches.retain(|step, _| step.job != id);
        self.advice.forget(id);
        self.peer_speeds.forget(id);
        self.change_tracker.mark_changed(id);
        let policy = self.queues.policy(&job.request.queue);
        let since_submission = |unix_ms: u64| {
            Duration::from_millis(unix_ms.saturating_sub(job.request.submitted_unix_ms))
        };
        let summary = JobSummary {
            job: id,
            queue: job.request.queue.clone(),
            phase,
            age: since_submission(now.unix_ms),
            allowed: policy.map(|policy| allowed_time(job, policy)),
            first_placed: job.diagnostics.first_placed_unix_ms.map(since_submission),
            lost_runs: job.diagnostics.lost_runs.clone(),
        };
        self.emit(PlannerEvent::JobEnded(summary));
        for key in placed {
            self.stop_task(now.point, key);
        }
    }

    /// Emits an event for logs and metrics.
    pub(super) fn emit(&mut self, event: PlannerEvent) {
        self.actions.push(PlannerAction::Event(event));
    }

    /// Stops the run of a task on the worker on which it was placed.
    fn stop_task(&mut self, now: TimePoint, key: TaskKey) {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let Some(TaskPhase::Placed(worker)) = task.map(|task| &task.phase) else {
            return;
        };
        let worker = worker.clone();
        self.stop_run(now, &worker, key);
    }

    /// Adds a job to those that haven't ended.
    fn open_job(&mut self, id: JobId, queue: &QueueName) {
        self.queues.job_opened(queue);
        self.open_jobs.insert(id);
        self.jobs_to_place.insert(id);
        self.jobs_to_begin.insert(id);
        self.is_placement_due = true;
    }

    fn begin_occurrences(&mut self, now: PlannerTime) {
        let mut remaining = std::mem::take(&mut self.jobs_to_begin);
        remaining.retain(|id| {
            let Some(job) = self.jobs.get_mut(id) else {
                return false;
            };
            if job.begin_due(now.unix_ms) {
                self.jobs_to_place.insert(*id);
                self.is_placement_due = true;
            }
            job.next_due_unix_ms().is_some()
        });
        self.jobs_to_begin = remaining;
    }

    fn forget_old_jobs(&mut self, now: PlannerTime) {
        let job_retention = whole_millis(self.settings.job_retention);
        let is_expired =
            |ended_unix_ms: u64| ended_unix_ms.saturating_add(job_retention) < now.unix_ms;
        let jobs = self.jobs.values();
        let ended = jobs.filter(|job| job.phase.is_final() && is_expired(job.ended_unix_ms));
        let without_request = self.ended_without_request.iter();
        let without_request = without_request.filter(|(_, job)| is_expired(job.ended_unix_ms));
        let expired: Vec<JobId> = ended
            .map(|job| job.id)
            .chain(without_request.map(|(id, _)| *id))
            .collect();
        for id in expired {
            self.jobs.remove(&id);
            self.ended_without_request.remove(&id);
            self.change_tracker.mark_forgotten(id);
        }
    }
}
