//! Handling of the runs of a worker that has crashed or is given up.

use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::PlannerTime;
use super::planner::JobPlanner;
use super::run_end::RunEndCause;
use crate::job::{TaskKey, WorkerId};
use crate::worker::{RunEntry, RunPhase};

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
        let entry = self.workers.get(worker);
        let silent_since = entry.and_then(|entry| entry.contact.silent_since);
        let silent_at = silent_since.unwrap_or(now.point);
        let silent_together = self.silence_log.count_around(silent_at).max(1);
        for (key, run) in runs {
            let loss = WorkerRunLoss {
                start: run.start(),
                age: run.age_at(silent_at),
                silent_together,
            };
            if let Some(entry) = self.workers.get_mut(worker) {
                entry.remove_run(*key, run.run);
            }
            let outcome = RunEndCause::LostWithWorker(cause, loss);
            self.finish_run(now, worker, *key, run.run, outcome, None);
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
}
