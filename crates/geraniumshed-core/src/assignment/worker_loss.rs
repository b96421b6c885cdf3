//! Handling of the runs of a worker that has crashed or is given up.
//!
//! All runs of a worker are lost with it, and one of them may be at fault. Each run is assessed when
//! its worker has been silent for a moment, since it is known then which runs had just started and
//! whether other workers went silent too. The assessment is stored, and counts once the worker is
//! known to be lost, also if another planner learns of that.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::PlannerTime;
use super::event::{PlannerEvent, TaskTrial};
use super::planner::JobPlanner;
use super::run_end::RunEndCause;
use super::silence_log::{NOTICE_TIME, has_common_cause};
use crate::job::{CrashEvidence, CrashHistory, JobId, RunSuspicion, TaskKey, WorkerId};
use crate::worker::{RunEntry, RunPhase, WorkerEntry};

/// The time after the start of a run within which it is the likely cause of a crash.
const START_WINDOW: Duration = Duration::from_secs(1);
/// The time for which a run has to survive in a trial.
const TRIAL_LENGTH: Duration = Duration::from_secs(2);
/// The longest time from the start of another run to that of a trial after which either may be the
/// cause of a crash.
const AMBIGUITY: Duration = Duration::from_millis(250);
/// The age of a run beyond which it is not at fault for a crash.
const AGE_LIMIT: Duration = Duration::from_secs(10);
/// The fraction of workers that may have a trial at the same time is one in this number.
const WORKERS_PER_TRIAL: usize = 4;

/// How the planner learned that a worker's runs are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LossCause {
    /// A new process of the worker answered.
    Restarted,
    /// Another worker answered at its address.
    Replaced,
    /// The worker was silent until its lease had certainly expired.
    LeaseExpired,
}

impl LossCause {
    /// Returns the name of the cause in logs.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Restarted => "worker restarted",
            Self::Replaced => "worker replaced",
            Self::LeaseExpired => "lease ran out",
        }
    }

    /// Returns whether the worker has certainly crashed. One that was only silent may have been cut
    /// off.
    fn is_crash(self) -> bool {
        match self {
            Self::Restarted | Self::Replaced => true,
            Self::LeaseExpired => false,
        }
    }

    /// Limits what a loss says about a run to what its cause shows.
    fn limit(self, evidence: CrashEvidence) -> CrashEvidence {
        match self {
            Self::Restarted | Self::Replaced => evidence,
            Self::LeaseExpired => evidence.min(CrashEvidence::Possible),
        }
    }
}

/// What is known of the start of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStart {
    /// The start order wasn't sent.
    NotSent,
    /// The start order was sent, but the worker never confirmed the run.
    Unconfirmed,
    /// The worker confirmed the run.
    Confirmed,
}

/// A run that was lost with its worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkerRunLoss {
    /// What is known of the start of the run.
    pub start: RunStart,
    /// The time from the start order until the worker went silent, or `None` if an earlier planner
    /// sent the order.
    pub age: Option<Duration>,
    /// The number of workers that went silent at about the same time.
    pub silent_together: usize,
    /// What the loss says about the run. Without a proof that the worker has crashed, it counts only
    /// once there is one.
    pub evidence: CrashEvidence,
    /// Whether the run was a trial.
    pub was_trial: bool,
    /// Whether the worker has certainly crashed.
    pub is_crash: bool,
}

impl JobPlanner {
    /// Assesses the runs of the workers that have been silent for long enough to know which others
    /// went silent at the same time.
    pub(super) fn assess_silent_workers(&mut self, now: TimePoint) {
        let is_due = |entry: &WorkerEntry| {
            let silent_since = entry.contact.silent_since;
            !entry.is_assessed && silent_since.is_some_and(|at| now.since(at) > NOTICE_TIME)
        };
        let due = self.workers.values().filter(|entry| is_due(entry));
        let due: Vec<WorkerId> = due.map(|entry| entry.id().clone()).collect();
        for worker in due {
            self.assess_runs(now, &worker);
        }
    }

    /// Decides for each run of a worker that may have crashed what speaks against it, unless that was
    /// decided before.
    pub(super) fn assess_runs(&mut self, now: TimePoint, worker: &WorkerId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if std::mem::replace(&mut entry.is_assessed, true) {
            return;
        }
        let Some(entry) = self.workers.get(worker) else {
            return;
        };
        let silent_at = entry.contact.silent_since.unwrap_or(now);
        let assess = |(key, run): (&TaskKey, &RunEntry)| {
            let evidence = entry.evidence_against(*key, run, silent_at);
            let evidence = self.limit_by_others(entry, key.job, silent_at, evidence);
            let run = run.run;
            (*key, RunSuspicion { run, evidence })
        };
        let assessed: Vec<(TaskKey, RunSuspicion)> = entry.runs.iter().map(assess).collect();
        for (key, suspicion) in assessed {
            self.suspect(key, suspicion);
        }
    }

    /// Limits what speaks against a run of a job if other workers went silent at the same time, which
    /// makes a common cause likely, unless that may be the job itself.
    fn limit_by_others(
        &self,
        entry: &WorkerEntry,
        job: JobId,
        silent_at: TimePoint,
        evidence: CrashEvidence,
    ) -> CrashEvidence {
        let log = &self.silence_log;
        if !self.has_common_cause(entry, silent_at) {
            evidence
        } else if !entry.was_heard() {
            CrashEvidence::None
        } else if log.is_on_trial_everywhere(silent_at, job) {
            evidence
        } else if evidence >= CrashEvidence::Likely && log.is_on_most(silent_at, job) {
            CrashEvidence::Shared
        } else {
            CrashEvidence::None
        }
    }

    /// Returns whether a worker is likely to be silent for the same reason as others. If it has never
    /// answered this planner, these are all that haven't.
    fn has_common_cause(&self, entry: &WorkerEntry, silent_at: TimePoint) -> bool {
        if entry.was_heard() {
            return self.silence_log.has_common_cause(silent_at);
        }
        has_common_cause(self.unheard_workers().map(|one| one.listing.rack.as_ref()))
    }

    /// Returns the number of workers that went silent at the same time as a worker, or if it has never
    /// answered this planner, of all that haven't.
    fn silent_together(&self, entry: &WorkerEntry, silent_at: TimePoint) -> usize {
        if entry.was_heard() {
            self.silence_log.count_around(silent_at)
        } else {
            self.unheard_workers().count()
        }
    }

    /// Returns the workers with runs that don't answer and have never answered this planner.
    fn unheard_workers(&self) -> impl Iterator<Item = &WorkerEntry> {
        let workers = self.workers.values();
        workers.filter(|one| !one.was_heard() && one.is_silent_with_runs())
    }

    /// Records what speaks against a run, unless an earlier planner, which knew more, has done so.
    fn suspect(&mut self, key: TaskKey, suspicion: RunSuspicion) {
        let job = self.jobs.get_mut(&key.job);
        let Some(task) = job.and_then(|job| job.task_mut(key)) else {
            return;
        };
        if task.run == suspicion.run && task.suspicion_of(suspicion.run).is_none() {
            task.suspicion = Some(suspicion);
            self.change_tracker.mark_crashes_changed(key.job);
        }
    }

    /// Drops what speaks against the runs that a worker still has after it has answered.
    pub(super) fn clear_suspicions(&mut self, worker: &WorkerId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        if !std::mem::take(&mut entry.is_assessed) {
            return;
        }
        for key in entry.runs.keys() {
            let job = self.jobs.get_mut(&key.job);
            let task = job.and_then(|job| job.task_mut(*key));
            if task.is_some_and(|task| task.suspicion.take().is_some()) {
                self.change_tracker.mark_crashes_changed(key.job);
            }
        }
    }

    /// Gives up runs that are lost with their worker.
    pub(super) fn lose_runs(
        &mut self,
        now: PlannerTime,
        worker: &WorkerId,
        cause: LossCause,
        runs: &[(TaskKey, RunEntry)],
    ) {
        if runs.is_empty() {
            return;
        }
        let entry = self.workers.get(worker);
        let silent_since = entry.and_then(|entry| entry.contact.silent_since);
        let trial = entry.and_then(|entry| entry.trial);
        let address = entry.and_then(WorkerEntry::address);
        // A worker that was cut off from the store as well is taken for crashed.
        let is_gone = entry.is_some_and(|entry| !entry.is_listed);
        let silent_at = silent_since.unwrap_or(now.point);
        let silent_together = entry.map_or(0, |entry| self.silent_together(entry, silent_at));
        for (key, run) in runs {
            let loss = WorkerRunLoss {
                start: run.start(),
                age: run.age_at(silent_at),
                silent_together: silent_together.max(1),
                evidence: cause.limit(self.evidence_of(*key, run)),
                was_trial: trial == Some(*key),
                is_crash: cause.is_crash() || is_gone,
            };
            if !loss.is_crash && loss.evidence != CrashEvidence::None {
                self.unproved_losses
                    .record(now.point, worker, address, *key, loss);
            }
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.remove_run(*key, run.run);
            }
            let outcome = RunEndCause::LostWithWorker(cause, loss);
            self.finish_run(now, worker, *key, run.run, outcome, None);
        }
    }

    /// Returns what was found to speak against a run.
    fn evidence_of(&self, key: TaskKey, run: &RunEntry) -> CrashEvidence {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let suspicion = task.and_then(|task| task.suspicion_of(run.run));
        suspicion.map_or(CrashEvidence::None, |one| one.evidence)
    }

    /// Returns whether the next run of a task has to be a trial.
    pub(super) fn needs_trial(&self, key: TaskKey) -> bool {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        task.is_some_and(|task| task.crashes.needs_trial())
    }

    /// Returns whether tasks that start together may do so, as far as the limit of trials at the same
    /// time goes. More of them than the limit have to start while there is no other trial.
    pub(super) fn allows_trials(&self, keys: &[TaskKey]) -> bool {
        let needed = keys.iter().filter(|key| self.needs_trial(**key)).count();
        if needed == 0 {
            return true;
        }
        let trials = self.workers.values().filter(|one| one.trial.is_some());
        let count = trials.count();
        count == 0 || count + needed <= self.workers.len().div_ceil(WORKERS_PER_TRIAL)
    }

    /// Ends the trial on a worker if the run has survived it, which clears the task of all crashes.
    pub(super) fn settle_trial(&mut self, now: TimePoint, worker: &WorkerId) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(key) = entry.trial else {
            return;
        };
        let run = entry.runs.get(&key);
        if !run.is_some_and(|run| run.has_survived_trial(now)) {
            return;
        }
        entry.trial = None;
        self.is_placement_due = true;
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|job| job.task_mut(key)) {
            task.crashes = CrashHistory::default();
            self.change_tracker.mark_crashes_changed(key.job);
        }
    }

    /// Begins the trial of a run that was just placed on a worker.
    pub(super) fn begin_trial(&mut self, key: TaskKey, worker: &WorkerId) {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let crashes = task.map_or(CrashHistory::default(), |task| task.crashes);
        if let Some(entry) = self.workers.get_mut(worker) {
            entry.trial = Some(key);
        }
        self.emit(PlannerEvent::TrialBegun(TaskTrial {
            task: key,
            worker: worker.clone(),
            crashes,
        }));
    }
}

impl WorkerEntry {
    /// Returns whether the worker has answered this planner.
    fn was_heard(&self) -> bool {
        self.contact.heard_at.is_some()
    }

    /// Returns whether the worker has runs and doesn't answer or has no address.
    fn is_silent_with_runs(&self) -> bool {
        let is_silent = self.contact.silent_since.is_some() || !self.has_address();
        is_silent && !self.runs.is_empty()
    }

    /// Returns the worker's address, if it is known.
    fn address(&self) -> Option<SocketAddr> {
        self.has_address().then_some(self.listing.address)
    }

    /// Returns what speaks against a run if the worker crashed at the given time.
    fn evidence_against(&self, key: TaskKey, run: &RunEntry, at: TimePoint) -> CrashEvidence {
        let age = run.age_at(at);
        let is_too_old = age.is_some_and(|age| age > AGE_LIMIT);
        if run.phase == RunPhase::Storing || self.listing.is_draining || is_too_old {
            return CrashEvidence::None;
        }
        let is_starting = run.is_starting(at);
        let is_likely = match self.trial {
            // An earlier planner may have seen it run for longer than a trial.
            Some(trial) if trial == key && run.is_adopted_and_confirmed() => false,
            Some(trial) if trial == key => {
                let mut others = self.runs.iter().filter(|(other, _)| **other != key);
                !others.any(|(_, other)| other.starts_with(run))
            }
            Some(_) if !is_starting => return CrashEvidence::None,
            Some(_) => false,
            None => is_starting,
        };
        match (is_likely, run.is_reported) {
            (true, false) => CrashEvidence::AtStart,
            (true, true) => CrashEvidence::Likely,
            (false, _) => CrashEvidence::Possible,
        }
    }
}

impl RunEntry {
    /// Returns what is known of the start of the run.
    fn start(&self) -> RunStart {
        match self.phase {
            RunPhase::Storing => RunStart::NotSent,
            RunPhase::Ordered(_) | RunPhase::Unsettled(_) => RunStart::Unconfirmed,
            RunPhase::Running(_) => RunStart::Confirmed,
        }
    }

    /// Returns the time from the start order to a point in time.
    fn age_at(&self, at: TimePoint) -> Option<Duration> {
        self.ordered_at.map(|ordered_at| at.since(ordered_at))
    }

    /// Returns whether the run was started so shortly before another one, or after it, that either may
    /// be the cause of a crash.
    fn starts_with(&self, other: &Self) -> bool {
        let starts = self.ordered_at.zip(other.ordered_at);
        starts.is_some_and(|(own, other)| other.since(own) <= AMBIGUITY)
    }

    /// Returns whether a trial that began at a point in time would start together with the run.
    pub(super) fn is_ambiguous(&self, at: TimePoint) -> bool {
        let is_recent = self.age_at(at).is_some_and(|age| age <= AMBIGUITY);
        is_recent || self.phase == RunPhase::Storing
    }

    /// Returns whether the run was known to have just been started at a point in time.
    pub(super) fn is_starting(&self, at: TimePoint) -> bool {
        self.age_at(at).is_some_and(|age| age <= START_WINDOW)
    }

    /// Returns whether an earlier planner started the run and the worker has reported it to this one.
    fn is_adopted_and_confirmed(&self) -> bool {
        self.ordered_at.is_none() && matches!(self.phase, RunPhase::Running(_))
    }

    /// Returns whether the worker has confirmed the run and the time of a trial is over.
    fn has_survived_trial(&self, now: TimePoint) -> bool {
        let RunPhase::Running(confirmed_at) = self.phase else {
            return false;
        };
        now.since(self.ordered_at.unwrap_or(confirmed_at)) > TRIAL_LENGTH
    }
}
