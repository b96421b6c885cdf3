//! What the crash of a worker says about each of its runs.
//!
//! All runs of a worker are lost with it, and one of them may be at fault. Each run is assessed when
//! its worker has been silent for a moment, since it is known then which runs had just started and
//! whether other workers went silent too. The assessment is stored, and counts once the worker is
//! known to have crashed, also if another planner learns of that.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::planner::JobPlanner;
use super::silence_log::{NOTICE_TIME, has_common_cause};
use crate::job::{CrashEvidence, JobId, RunSuspicion, TaskKey, WorkerId};
use crate::worker::{RunEntry, RunPhase, WorkerEntry};

/// The time after the start of a run within which it is the likely cause of a crash.
const START_WINDOW: Duration = Duration::from_secs(1);
/// The longest time from the start of another run to that of a trial after which either may be the
/// cause of a crash.
const AMBIGUITY: Duration = Duration::from_millis(250);
/// The age of a run beyond which it is not at fault for a crash.
const AGE_LIMIT: Duration = Duration::from_secs(10);

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
        let has_common_cause = self.has_common_cause(entry, silent_at);
        let assess = |(key, run): (&TaskKey, &RunEntry)| {
            let mut evidence = entry.evidence_against(*key, run, silent_at);
            if has_common_cause {
                evidence = self.limit_by_others(entry, key.job, silent_at, evidence);
            }
            let run = run.run;
            (*key, RunSuspicion { run, evidence })
        };
        // A common cause excuses runs without a record, since whole racks are lost with many jobs.
        let is_needed = |(_, one): &(TaskKey, RunSuspicion)| {
            !has_common_cause || one.evidence != CrashEvidence::None
        };
        let assessed = entry.runs.iter().map(assess).filter(is_needed);
        let assessed: Vec<(TaskKey, RunSuspicion)> = assessed.collect();
        for (key, suspicion) in assessed {
            self.suspect(key, suspicion);
        }
    }

    /// Limits what speaks against a run of a job whose worker is likely to have a common cause with
    /// others, unless that may be the job itself.
    fn limit_by_others(
        &self,
        entry: &WorkerEntry,
        job: JobId,
        silent_at: TimePoint,
        evidence: CrashEvidence,
    ) -> CrashEvidence {
        let log = &self.silence_log;
        if !entry.was_heard() {
            CrashEvidence::None
        } else if entry.trial.is_some() && log.is_on_trial_everywhere(silent_at, job) {
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
    pub(super) fn silent_together(&self, entry: &WorkerEntry, silent_at: TimePoint) -> usize {
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

    /// Returns what was found to speak against a run.
    pub(super) fn evidence_of(&self, key: TaskKey, run: &RunEntry) -> CrashEvidence {
        let task = self.jobs.get(&key.job).and_then(|job| job.task(key));
        let suspicion = task.and_then(|task| task.suspicion_of(run.run));
        suspicion.map_or(CrashEvidence::None, |one| one.evidence)
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
    /// Returns the time from the start order to a point in time.
    pub(super) fn age_at(&self, at: TimePoint) -> Option<Duration> {
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
}
