//! Simulated workers and the interference between their runs.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use geraniumshed_core::assignment::PlannerTime;
use geraniumshed_core::job::{JobId, JobRequest, StepRequest, TaskKey};
use geraniumshed_core::worker::{
    EndKind, FenceToken, RunEnd, RunReport, StartOrder, WorkerIncarnation, WorkerListing,
    WorkerTime,
};
use geraniumshed_model::prelude::{ResourceSize, TimePoint};
use smol_str::SmolStr;

use crate::fixture::STEP;

/// The system time at the start of a test, when the first processes start, in milliseconds of Unix time.
pub const START_UNIX_MS: u64 = 1_700_000_000_000;

/// The faults that a test injects into a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerFault {
    /// The worker doesn't reply and carries nothing out.
    pub is_silent: bool,
    /// The worker holds renewals back for as long as it may.
    pub holds_renewals: bool,
    /// The worker carries calls out, but its replies are lost.
    pub loses_replies: bool,
    /// The worker doesn't reply to starts and carries them out after this delay.
    pub start_delay: Option<Duration>,
    /// The worker has no room for any start.
    pub refuses_starts: bool,
    /// All tasks on the worker fail.
    pub fails: bool,
    /// The tasks on the worker make no progress.
    pub stalls: bool,
    /// The best-effort tasks on the worker make no progress.
    pub stalls_best_effort: bool,
    /// The factor by which the tasks on the worker take longer, or 0 for none.
    pub slowness: u32,
    /// The worker holds renewals back until a run ends, or for as long as it may.
    pub polls: bool,
    /// Runs end this long after the order to stop them.
    pub stop_delay: Duration,
    /// Runs end this long after the lease has expired.
    pub lapse_delay: Duration,
}

/// A run on a simulated worker.
#[derive(Debug, Clone)]
pub struct SimulatedRun {
    pub run: u32,
    pub started_at: TimePoint,
    pub length: Duration,
    /// The time that the run has lost because it was slowed down.
    pub lost: Duration,
    /// The pressure on the run in each time step of the measurement window of tail latencies.
    pub pressures: VecDeque<f64>,
}

impl SimulatedRun {
    /// Returns the time that the run would have taken at full speed for what it has done.
    pub fn done(&self, now: TimePoint) -> Duration {
        now.since(self.started_at).saturating_sub(self.lost)
    }

    /// Returns the tail latency that the run reports.
    fn tail(&self) -> Duration {
        let count = self.pressures.len().max(1);
        let pressure = self.pressures.iter().sum::<f64>() / count as f64;
        BASE_TAIL.div_f64(1.0 - pressure.min(0.98))
    }
}

/// A simulated worker that follows the platform's protocol: fencing tokens, leases and numbered
/// ends of runs.
#[derive(Debug)]
pub struct SimulatedWorker {
    pub listing: WorkerListing,
    pub fault: WorkerFault,
    pub incarnation: WorkerIncarnation,
    /// The capacities before the present one, with the time at which each ended.
    pub earlier_capacities: Vec<(TimePoint, ResourceSize)>,
    /// The speed of the worker's clock, in percent.
    pub clock_percent: u64,
    /// When the worker's clock showed its first reading.
    pub clock_started_at: TimePoint,
    /// What the worker's clock showed first.
    pub first_reading: Duration,
    pub token: FenceToken,
    pub deadline: TimePoint,
    pub runs: BTreeMap<TaskKey, SimulatedRun>,
    pub ended: Vec<RunEnd>,
    pub next_end: u64,
    pub delayed: Vec<(TimePoint, FenceToken, StartOrder)>,
    /// The runs that were ordered to stop, with the time at which they end.
    pub stopping: BTreeMap<TaskKey, (TimePoint, u32)>,
}

impl SimulatedWorker {
    pub fn new(listing: WorkerListing) -> Self {
        Self {
            listing,
            fault: WorkerFault::default(),
            incarnation: WorkerIncarnation(START_UNIX_MS),
            earlier_capacities: Vec::new(),
            clock_percent: 100,
            clock_started_at: TimePoint::default(),
            first_reading: Duration::ZERO,
            token: FenceToken(0),
            deadline: TimePoint::default(),
            runs: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
            delayed: Vec::new(),
            stopping: BTreeMap::new(),
        }
    }

    /// Restarts the worker, which loses all its runs and state.
    pub fn restart(&mut self) {
        let incarnation = WorkerIncarnation(self.incarnation.0 + 1);
        let clock_percent = self.clock_percent;
        *self = Self::new(self.listing.clone());
        self.incarnation = incarnation;
        self.clock_percent = clock_percent;
    }

    /// Restarts the worker like [`Self::restart`], with a clock that starts anew.
    pub fn restart_with_clock(&mut self, now: PlannerTime) {
        self.restart();
        self.begin_at(now);
    }

    /// Sets when the worker's process has started.
    pub fn begin_at(&mut self, now: PlannerTime) {
        self.clock_started_at = now.point;
        self.incarnation = WorkerIncarnation(now.unix_ms);
    }

    /// Returns the time on the worker's clock.
    pub fn clock(&self, now: TimePoint) -> TimePoint {
        let elapsed = (now.0 - self.clock_started_at.0) * self.clock_percent / 100;
        TimePoint(elapsed) + self.first_reading
    }

    /// Extends the lease up to a time on the worker's clock, but grants at most the longest lease.
    pub fn extend_lease(&mut self, deadline: WorkerTime, now: TimePoint, longest: Duration) {
        let granted = TimePoint(deadline.0 * 1000).min(self.clock(now) + longest);
        self.deadline = self.deadline.max(granted);
    }

    /// Carries out the order to stop a run, which ends after the stop delay.
    pub fn stop(&mut self, task: TaskKey, run: u32, now: TimePoint) {
        let due = now + self.fault.stop_delay;
        self.stopping.entry(task).or_insert((due, run));
        self.end_stopped(now);
    }

    /// Ends the runs whose stop is due.
    pub fn end_stopped(&mut self, now: TimePoint) {
        let stopping = std::mem::take(&mut self.stopping);
        let (due, waiting) = stopping.into_iter().partition(|(_, (at, _))| *at <= now);
        self.stopping = waiting;
        let due: BTreeMap<TaskKey, (TimePoint, u32)> = due;
        for (task, (_, number)) in due {
            if self.runs.get(&task).is_some_and(|run| run.run == number) {
                self.end(task, EndKind::Stopped);
            }
        }
    }

    /// Takes the worker's slowness into account for a time step.
    pub fn slow_down(&mut self) {
        if self.fault.slowness > 0 {
            for run in self.runs.values_mut() {
                run.lost += STEP.saturating_sub(STEP / self.fault.slowness);
            }
        }
    }

    /// Takes the ordered speeds into account for a time step.
    pub fn throttle(&mut self, paces: &BTreeMap<TaskKey, u32>) {
        for (task, run) in &mut self.runs {
            let percent = paces.get(task).copied().unwrap_or(100);
            run.lost += STEP * (100 - percent) / 100;
        }
    }

    /// Ends a run, if the worker has it.
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

/// The tail latency of a run without any pressure.
const BASE_TAIL: Duration = Duration::from_millis(5);
/// The number of time steps over which tail latencies are measured.
pub const TAIL_STEPS: usize = 50;
/// The period of the load of runs with a latency target.
const LOAD_PERIOD: Duration = Duration::from_secs(10);

/// The inputs that determine the progress and the tail latencies of runs.
pub struct Workload<'a> {
    pub requests: &'a BTreeMap<JobId, JobRequest>,
    pub pressures: &'a BTreeMap<(SmolStr, SmolStr), f64>,
    pub paces: &'a BTreeMap<TaskKey, u32>,
    /// The time after its start from which on a long-running task is at work.
    pub startup: Duration,
}

impl Workload<'_> {
    /// Returns the reports of a worker's runs.
    pub fn reports(&self, worker: &SimulatedWorker, now: TimePoint) -> Vec<RunReport> {
        let report = |(task, run): (&TaskKey, &SimulatedRun)| {
            let done = run.done(now).as_millis() * 100 / run.length.as_millis().max(1);
            let fault = worker.fault;
            let is_best_effort = self.step(task).is_best_effort;
            let percent = if fault.stalls || fault.stalls_best_effort && is_best_effort {
                7
            } else if self.step(task).is_long_running {
                if now.since(run.started_at) >= self.startup {
                    100
                } else {
                    0
                }
            } else {
                u32::try_from(done.min(99)).unwrap_or(99)
            };
            RunReport {
                task: *task,
                run: run.run,
                checkpoint: None,
                percent,
                tail_latency: run.tail(),
            }
        };
        worker.runs.iter().map(report).collect()
    }

    /// Counts the reported tail latencies, and those that are above their targets.
    pub fn tail_counts(&self, running: &[RunReport]) -> (usize, usize) {
        let targets = running.iter().filter_map(|one| {
            let target = self.step(&one.task).latency_target?;
            Some(one.tail_latency > target)
        });
        let high = targets.clone().filter(|is_high| *is_high).count();
        (targets.count(), high)
    }

    fn step(&self, task: &TaskKey) -> &StepRequest {
        &self.requests[&task.job].steps[task.step as usize]
    }

    fn image(&self, task: &TaskKey) -> SmolStr {
        self.step(task).image.clone().unwrap_or_default()
    }

    /// Returns the current pressure on each run with a latency target on a worker.
    pub fn pressures(&self, worker: &SimulatedWorker, now: TimePoint) -> Vec<(TaskKey, f64)> {
        let tasks = worker.runs.keys();
        let served = tasks.filter(|task| self.step(task).latency_target.is_some());
        served
            .map(|task| (*task, self.pressure(worker, task, now)))
            .collect()
    }

    fn pressure(&self, worker: &SimulatedWorker, task: &TaskKey, now: TimePoint) -> f64 {
        let image = self.image(task);
        let beside = worker
            .runs
            .keys()
            .filter(|key| self.step(key).is_best_effort);
        let pressure = |key: &TaskKey| {
            let pair = (image.clone(), self.image(key));
            let slope = self.pressures.get(&pair).copied().unwrap_or_default();
            let percent = f64::from(self.paces.get(key).copied().unwrap_or(100));
            slope * f64::from(self.step(key).size.processors.0) / 1000.0 * percent / 100.0
        };
        // The loads of different jobs vary out of phase.
        let phase = now.0 as f64 / LOAD_PERIOD.as_micros() as f64 + task.job.0 as f64 * 0.37;
        let own = 0.42 * (1.0 + 0.5 * (phase * std::f64::consts::TAU).sin());
        own + beside.map(pressure).sum::<f64>()
    }
}
