//! Handling of the runs of a worker that has crashed or is given up.

use std::net::SocketAddr;
use std::time::Duration;

use super::action::PlannerTime;
use super::planner::JobPlanner;
use super::run_end::RunEndCause;
use crate::job::{CrashEvidence, TaskKey, WorkerId};
use crate::worker::{RunEntry, RunPhase, WorkerEntry};

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
            let mut loss = WorkerRunLoss {
                start: run.start(),
                age: run.age_at(silent_at),
                silent_together: silent_together.max(1),
                evidence: self.evidence_of(*key, run),
                was_trial: trial == Some(*key),
                is_crash: cause.is_crash() || is_gone,
            };
            if !loss.is_crash && loss.evidence != CrashEvidence::None {
                self.unproved_losses
                    .record(now.point, worker, address, *key, loss);
            }
            loss.evidence = cause.limit(loss.evidence);
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.remove_run(*key, run.run);
            }
            let outcome = RunEndCause::LostWithWorker(cause, loss);
            self.finish_run(now, worker, *key, run.run, outcome, None);
        }
    }
}

impl WorkerEntry {
    /// Returns the worker's address, if it is known.
    fn address(&self) -> Option<SocketAddr> {
        self.has_address().then_some(self.listing.address)
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
}
