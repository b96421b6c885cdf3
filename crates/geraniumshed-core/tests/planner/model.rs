//! Modelled workers.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_core::job::{JobId, JobRequest, TaskKey};
use geraniumshed_core::worker::{
    EndKind, FenceToken, RunEnd, RunReport, StartOrder, WorkerLife, WorkerListing,
};
use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

/// What a test makes go wrong at a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerFault {
    /// It answers nothing and carries nothing out.
    pub is_silent: bool,
    /// It leaves starts unanswered and carries them out this much later.
    pub late_starts: Option<Duration>,
    /// Its tasks all fail.
    pub fails: bool,
    /// Its tasks make no progress.
    pub stalls: bool,
}

/// A run of a modelled worker.
#[derive(Debug, Clone)]
pub struct ModelRun {
    pub run: u32,
    pub started_at: TimePoint,
    pub length: Duration,
}

/// A modelled worker that keeps the platform's promises: fences, leases, numbered ends.
#[derive(Debug)]
pub struct ModelWorker {
    pub listing: WorkerListing,
    pub fault: WorkerFault,
    pub life: WorkerLife,
    pub token: FenceToken,
    pub deadline: TimePoint,
    pub runs: BTreeMap<TaskKey, ModelRun>,
    pub ended: Vec<RunEnd>,
    pub next_end: u64,
    pub late: Vec<(TimePoint, FenceToken, StartOrder)>,
}

impl ModelWorker {
    pub fn new(listing: WorkerListing) -> Self {
        Self {
            listing,
            fault: WorkerFault::default(),
            life: WorkerLife(1),
            token: FenceToken(0),
            deadline: TimePoint::default(),
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            late: Vec::new(),
        }
    }

    /// Loses all that it runs and knows, and starts anew.
    pub fn restart(&mut self) {
        let life = WorkerLife(self.life.0 + 1);
        *self = Self::new(self.listing.clone());
        self.life = life;
    }

    /// Ends a run, if it is there.
    pub fn end(&mut self, task: TaskKey, kind: EndKind) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        self.ended.push(RunEnd {
            number: self.next_end,
            task,
            run: run.run,
            kind,
            checkpoint: None,
        });
        self.next_end += 1;
    }
}

/// Describes what a worker runs.
pub fn reports(
    worker: &ModelWorker,
    requests: &BTreeMap<JobId, JobRequest>,
    tails: &BTreeMap<(SmolStr, SmolStr), Duration>,
    now: TimePoint,
) -> Vec<RunReport> {
    let step_of = |task: &TaskKey| &requests[&task.job].steps[task.step as usize];
    let image_of = |task: &TaskKey| step_of(task).image.clone().unwrap_or_default();
    let beside: Vec<SmolStr> = worker
        .runs
        .keys()
        .filter(|task| step_of(task).is_best_effort)
        .map(image_of)
        .collect();
    let report = |(task, run): (&TaskKey, &ModelRun)| {
        let image = image_of(task);
        let tail = beside
            .iter()
            .filter_map(|other| tails.get(&(image.clone(), other.clone())))
            .max()
            .copied()
            .unwrap_or(Duration::from_millis(5));
        let done = now.since(run.started_at).as_millis() * 100 / run.length.as_millis().max(1);
        let is_whole = step_of(task).is_long_running;
        let percent = if worker.fault.stalls {
            7
        } else if is_whole {
            100
        } else {
            u32::try_from(done.min(99)).unwrap_or(99)
        };
        RunReport {
            task: *task,
            run: run.run,
            checkpoint: None,
            percent,
            tail_latency: tail,
        }
    };
    worker.runs.iter().map(report).collect()
}
