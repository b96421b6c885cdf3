//! The planner: jobs, workers and what connects them.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::{TimePoint, whole_millis};

use super::action::{
    CancelOutcome, JobStatus, PlannerAction, PlannerMoment, StoreBatch, StoreChange,
};
use super::advice::AdviceBook;
use super::interference::{InterferenceImage, InterferenceModel};
use super::ledger::StoreLedger;
use super::note::{JobSummary, PlannerNote};
use super::rank::allowed_time;
use super::settings::PlannerSettings;
use crate::job::{
    JobEntry, JobId, JobImage, JobPhase, JobRequest, QueueName, QueuePolicy, QueueTable, TaskKey,
    TaskPhase, WorkerId,
};
use crate::worker::{FenceToken, RenewMark, WorkerEntry};

/// Starts, stops and paces all tasks.
///
/// At any time at most one planner may be in force. Its token lies above those of all planners
/// before it, so that workers refuse what those may still send.
#[derive(Debug)]
pub struct JobPlanner {
    pub(super) settings: PlannerSettings,
    pub(super) first_token: FenceToken,
    pub(super) queues: QueueTable,
    pub(super) jobs: BTreeMap<JobId, JobEntry>,
    /// The jobs that were cancelled before they were known, with the time of the cancellation in
    /// milliseconds of Unix time.
    withdrawn: BTreeMap<JobId, u64>,
    /// The jobs that haven't come to their end.
    pub(super) open_jobs: BTreeSet<JobId>,
    pub(super) workers: BTreeMap<WorkerId, WorkerEntry>,
    pub(super) ledger: StoreLedger,
    pub(super) interference: InterferenceModel,
    pub(super) advice: AdviceBook,
    pub(super) actions: Vec<PlannerAction>,
    /// Whether orders ask for the longest lease.
    pub(super) prolongs_leases: bool,
    /// Whether a successor takes over.
    pub(super) is_handing_over: bool,
    /// The workers that are kept free for a long-running task that found no room.
    pub(super) held_workers: BTreeMap<TaskKey, WorkerId>,
    /// Whether something has changed since tasks were last placed.
    pub(super) is_placing_due: bool,
    /// When a worker may be searched for that is kept free.
    pub(super) next_hold: TimePoint,
    next_watch: TimePoint,
    next_cleanup: TimePoint,
    /// When what was learned of interference is stored again.
    next_learned: TimePoint,
}

/// The pause between two searches for leases that have run out and for runs without progress.
const WATCH_PAUSE: Duration = Duration::from_millis(40);
/// The pause between two searches for jobs that can be forgotten.
const CLEANUP_PAUSE: Duration = Duration::from_secs(5);
/// The pause before what was learned of interference is stored again.
const LEARNED_PAUSE: Duration = Duration::from_secs(3);

impl JobPlanner {
    /// Creates a planner whose orders carry the given token or higher ones.
    pub fn new(settings: PlannerSettings, first_token: FenceToken) -> Self {
        Self {
            settings,
            first_token,
            queues: QueueTable::default(),
            jobs: BTreeMap::new(),
            withdrawn: BTreeMap::new(),
            open_jobs: BTreeSet::new(),
            workers: BTreeMap::new(),
            ledger: StoreLedger::default(),
            interference: InterferenceModel::default(),
            advice: AdviceBook::default(),
            actions: Vec::new(),
            prolongs_leases: false,
            is_handing_over: false,
            held_workers: BTreeMap::new(),
            is_placing_due: false,
            next_hold: TimePoint::default(),
            next_watch: TimePoint::default(),
            next_cleanup: TimePoint::default(),
            next_learned: TimePoint::default(),
        }
    }

    /// Replaces the queues in force.
    pub fn replace_queues(&mut self, queues: BTreeMap<QueueName, QueuePolicy>) {
        self.queues.replace(queues);
        self.is_placing_due = true;
    }

    /// Restores a job that an earlier planner left in the store.
    pub fn restore(&mut self, now: PlannerMoment, id: JobId, request: JobRequest, image: JobImage) {
        let job = JobEntry::restore(id, request, image);
        for key in job.placed_tasks() {
            self.restore_run(now.point, &job, key);
        }
        if !job.phase.is_final() {
            self.open_jobs.insert(id);
        }
        self.jobs.insert(id, job);
        self.is_placing_due = true;
    }

    /// Takes in a job whose request is stored; a known job stays as it is.
    pub fn submit(&mut self, id: JobId, request: JobRequest) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = JobEntry::new(id, request);
        if let Some(cancelled_unix_ms) = self.withdrawn.remove(&id) {
            job.phase = JobPhase::Cancelled;
            job.ended_unix_ms = cancelled_unix_ms;
            self.jobs.insert(id, job);
            return;
        }
        self.jobs.insert(id, job);
        self.open_jobs.insert(id);
        self.is_placing_due = true;
    }

    /// Restores what an earlier planner had learned of interference.
    pub fn restore_interference(&mut self, image: InterferenceImage) {
        self.interference = InterferenceModel::restore(image);
    }

    /// Restores the cancellation of a job that is not known.
    pub fn restore_withdrawn(&mut self, id: JobId, cancelled_unix_ms: u64) {
        self.withdrawn.insert(id, cancelled_unix_ms);
    }

    /// Cancels a job.
    ///
    /// A job that is not known may have been handed in all the same and not have arrived yet, so
    /// that its cancellation is kept as well.
    pub fn cancel(&mut self, now: PlannerMoment, id: JobId) -> CancelOutcome {
        let Some(job) = self.jobs.get(&id) else {
            if let Entry::Vacant(entry) = self.withdrawn.entry(id) {
                entry.insert(now.unix_ms);
                self.ledger.change(id);
            }
            return match self.ledger.unstored_batch(id) {
                Some(batch) => CancelOutcome::WithdrawnBy(batch),
                None => CancelOutcome::Unknown,
            };
        };
        // An end that isn't stored yet could be lost with this planner.
        if job.phase.is_final() && self.ledger.unstored_batch(id).is_none() {
            return CancelOutcome::AlreadyEnded;
        }
        if !job.phase.is_final() {
            self.end_job(now, id, JobPhase::Cancelled);
        }
        CancelOutcome::StoredBy(self.ledger.change(id))
    }

    /// Returns what a client may be told of a job.
    pub fn status(&self, id: JobId) -> JobStatus {
        let Some(job) = self.jobs.get(&id) else {
            return JobStatus::Unknown;
        };
        // An end counts once it is stored, so that no later planner can take it back.
        if job.phase.is_final() && self.ledger.unstored_batch(id).is_some() {
            return JobStatus::Known(JobPhase::Running);
        }
        JobStatus::Known(job.phase)
    }

    /// Returns the number of a queue's jobs of which no task has started.
    pub fn pending_count(&self, queue: &QueueName) -> usize {
        self.open_jobs
            .iter()
            .filter_map(|id| self.jobs.get(id))
            .filter(|job| job.phase == JobPhase::Queued && job.request.queue == *queue)
            .count()
    }

    /// Tells whether changes wait to be stored.
    pub fn has_changes(&self) -> bool {
        self.ledger.has_changes()
    }

    /// Tells whether a renewal carried the newest token that this planner gave out for a worker.
    pub fn is_newest_token(&self, worker: &WorkerId, mark: RenewMark) -> bool {
        let entry = self.workers.get(worker);
        entry.is_some_and(|entry| entry.token == mark.token)
    }

    /// Returns the changes that wait to be stored, if there are any.
    pub fn take_batch(&mut self, now: PlannerMoment) -> Option<StoreBatch> {
        if !self.ledger.has_changes() {
            return None;
        }
        let (number, jobs, forgotten) = self.ledger.take();
        let progress = jobs.into_iter().filter_map(|id| {
            let image = match self.jobs.get(&id) {
                Some(job) => job.image(),
                None => JobImage::cancelled(*self.withdrawn.get(&id)?),
            };
            Some(StoreChange::Progress(id, image))
        });
        let forgotten = forgotten.into_iter().map(StoreChange::Forget);
        let mut changes: Vec<StoreChange> = progress.chain(forgotten).collect();
        if self.next_learned <= now.point {
            self.next_learned = now.point + LEARNED_PAUSE;
            changes.push(StoreChange::Interference(self.interference.image()));
        }
        Some(StoreBatch { number, changes })
    }

    /// Takes note that all batches up to a number are stored.
    pub fn batch_stored(&mut self, now: PlannerMoment, number: u64) {
        for start in self.ledger.stored(number) {
            self.send_start(now, start);
        }
        for worker in self.workers.values_mut() {
            worker.ends_stored(number, now.point);
        }
    }

    /// Does what is due by time, and places tasks if anything has changed.
    pub fn advance(&mut self, now: PlannerMoment) {
        if self.next_watch <= now.point {
            self.next_watch = now.point + WATCH_PAUSE;
            self.release_lapsed(now);
            self.watch_runs(now);
            self.begin_occurrences(now);
        }
        if self.is_placing_due {
            self.begin_occurrences(now);
            self.is_placing_due = false;
            self.place_tasks(now);
        }
        self.send_renewals(now.point);
        if self.next_cleanup <= now.point {
            self.next_cleanup = now.point + CLEANUP_PAUSE;
            self.forget_old_jobs(now);
        }
    }

    /// Asks for tasks to be placed at the next advance, since time alone may have made room.
    pub fn revisit(&mut self) {
        self.is_placing_due = true;
    }

    /// Hands out the calls that are due.
    pub fn take_actions(&mut self) -> Vec<PlannerAction> {
        std::mem::take(&mut self.actions)
    }

    /// Brings a job to its end and stops what runs of it.
    pub(super) fn end_job(&mut self, now: PlannerMoment, id: JobId, phase: JobPhase) {
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let placed = job.placed_tasks();
        job.phase = phase;
        job.ended_unix_ms = now.unix_ms;
        self.open_jobs.remove(&id);
        self.advice.forget(id);
        self.ledger.change(id);
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
            first_placed: job.story.first_placed_unix_ms.map(since_submission),
            lost_runs: job.story.lost_runs.clone(),
        };
        self.note(PlannerNote::JobEnded(summary));
        for key in placed {
            self.stop_task(now.point, key);
        }
    }

    /// Tells of a decision.
    pub(super) fn note(&mut self, note: PlannerNote) {
        self.actions.push(PlannerAction::Note(note));
    }

    /// Stops the run of a task, wherever it was placed.
    fn stop_task(&mut self, now: TimePoint, key: TaskKey) {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let Some(TaskPhase::Placed(worker)) = task.map(|task| &task.phase) else {
            return;
        };
        let worker = worker.clone();
        self.stop_run(now, &worker, key);
    }

    fn begin_occurrences(&mut self, now: PlannerMoment) {
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            if job.begin_due(now.unix_ms) {
                self.is_placing_due = true;
            }
        }
    }

    fn forget_old_jobs(&mut self, now: PlannerMoment) {
        let memory = whole_millis(self.settings.memory);
        let is_old = |ended_unix_ms: u64| ended_unix_ms.saturating_add(memory) < now.unix_ms;
        let jobs = self.jobs.values();
        let ended = jobs.filter(|job| job.phase.is_final() && is_old(job.ended_unix_ms));
        let withdrawn = self.withdrawn.iter().filter(|(_, at)| is_old(**at));
        let old: Vec<JobId> = ended
            .map(|job| job.id)
            .chain(withdrawn.map(|(id, _)| *id))
            .collect();
        for id in old {
            self.jobs.remove(&id);
            self.withdrawn.remove(&id);
            self.ledger.forget(id);
        }
    }
}
