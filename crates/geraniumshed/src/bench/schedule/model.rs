//! Simulated workers whose tasks slow each other down by a matrix hidden from the scheduler.

use std::collections::BTreeMap;
use std::time::Duration;

use geraniumshed_model::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// The slowdown of the first group of a pair by full load of the second; 0 means none.
pub type SlowdownMatrix = BTreeMap<(GroupName, GroupName), f64>;

/// The 99th percentile of the latency of a replica that runs alone on a worker.
pub const BASE_LATENCY: Duration = Duration::from_millis(10);
/// The age of the usage that a worker reports.
const REPORT_AGE: Duration = Duration::from_secs(5);
/// The largest relative error of a single measurement.
const MEASUREMENT_NOISE: f64 = 0.05;

/// A running attempt of a task on a simulated worker.
#[derive(Debug, Clone)]
struct ModelRun {
    spec: TaskSpec,
    size: ResourceSize,
    /// The remaining work, in seconds of running alone.
    remaining: f64,
    begin: TimePoint,
    throttle: u32,
    is_stopping: bool,
}

/// A simulated worker.
#[derive(Debug, Clone)]
pub struct ModelWorker {
    vm: VmEntry,
    runs: BTreeMap<(TaskId, AttemptNumber), ModelRun>,
    ended: Vec<EndedReport>,
    changed: Vec<(TaskId, AttemptNumber)>,
}

/// The measurements of one simulation step on one worker.
#[derive(Debug, Default)]
pub struct StepMeasure {
    /// The slowdown factor of each replica; 1 means none.
    pub service: Vec<f64>,
    /// The batch work done, in processor-seconds of running alone.
    pub batch: f64,
}

impl ModelWorker {
    /// Creates a worker that runs no tasks.
    pub fn new(vm: VmEntry) -> Self {
        Self {
            vm,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            changed: Vec::new(),
        }
    }

    /// Returns the entry of the worker in the VM list.
    pub fn vm(&self) -> &VmEntry {
        &self.vm
    }

    /// Advances the worker by `span`: batch tasks make progress, and finished or stopped ones end.
    pub fn step(&mut self, now: TimePoint, span: Duration, matrix: &SlowdownMatrix) -> StepMeasure {
        let mut measure = StepMeasure::default();
        let keys: Vec<_> = self.runs.keys().cloned().collect();
        for key in keys {
            let slowdown = self.slowdown(&key, matrix);
            let Some(run) = self.runs.get_mut(&key) else {
                continue;
            };
            if run.spec.class.is_latency_critical() {
                measure.service.push(slowdown);
                continue;
            }
            let speed = f64::from(run.throttle) / 100.0 / slowdown;
            let work = (span.as_secs_f64() * speed).min(run.remaining);
            run.remaining -= work;
            measure.batch += work * f64::from(run.spec.size.processors.0) / 1000.0;
            if run.remaining <= 0.0 {
                self.end(&key, now, TaskOutcome::Completed);
            } else if run.is_stopping {
                self.stop(&key, now);
            }
        }
        measure
    }

    /// Returns the factor by which a task runs slower than alone.
    fn slowdown(&self, key: &(TaskId, AttemptNumber), matrix: &SlowdownMatrix) -> f64 {
        let group = &self.runs[key].spec.group;
        let others = self.runs.iter().filter(|(other, _)| *other != key);
        let slowdowns = others.map(|(_, run)| {
            let pair = (group.clone(), run.spec.group.clone());
            let share = f64::from(run.size.processors.0) / f64::from(self.vm.size.processors.0);
            let load = share * f64::from(run.throttle) / 100.0;
            matrix.get(&pair).copied().unwrap_or_default() * load
        });
        1.0 + slowdowns.sum::<f64>()
    }

    fn end(&mut self, key: &(TaskId, AttemptNumber), now: TimePoint, outcome: TaskOutcome) {
        if let Some(run) = self.runs.remove(key) {
            let ended = EndedAttempt {
                task: key.0.clone(),
                attempt: key.1,
                outcome,
            };
            let run_time = TimeSpan(now.since(run.begin));
            self.ended.push(EndedReport { ended, run_time });
        }
    }

    /// Stops a task with a checkpoint whose id encodes the remaining work in milliseconds.
    fn stop(&mut self, key: &(TaskId, AttemptNumber), now: TimePoint) {
        let remaining = self.runs[key].remaining;
        let id = format!("{}-{:.0}", key.0.record, remaining * 1000.0);
        let checkpoint = id.parse().ok();
        self.end(key, now, TaskOutcome::Stopped { checkpoint });
    }

    /// Returns the inventory of the worker, as the answer to a seize call.
    pub fn seize(&self) -> SeizeReply {
        SeizeReply {
            boot: BootId(1),
            size: self.vm.size,
            running: self.runs.keys().map(|key| self.running(key)).collect(),
            ended: self.ended.clone(),
        }
    }

    /// Applies the commands of an exchange and returns the answer.
    pub fn exchange(
        &mut self,
        now: TimePoint,
        request: &ExchangeRequest,
        matrix: &SlowdownMatrix,
        rng: &mut ChaCha8Rng,
    ) -> ExchangeReply {
        for command in &request.commands {
            self.apply_command(now, command);
        }
        let changed = std::mem::take(&mut self.changed);
        let live = changed.iter().filter(|key| self.runs.contains_key(*key));
        let usage = request.with_usage.then(|| self.usage(matrix, rng));
        ExchangeReply {
            results: vec![CommandResult::Done; request.commands.len()],
            changed: live.map(|key| self.running(key)).collect(),
            ended: self.ended.clone(),
            usage,
        }
    }

    fn apply_command(&mut self, now: TimePoint, command: &WorkerCommand) {
        match command {
            WorkerCommand::Start {
                spec,
                attempt,
                size,
                checkpoint,
            } => {
                let key = (spec.task.clone(), *attempt);
                let run = ModelRun {
                    spec: spec.clone(),
                    size: *size,
                    remaining: remaining_work(spec, checkpoint.as_ref()),
                    begin: now,
                    throttle: 100,
                    is_stopping: false,
                };
                self.runs.entry(key.clone()).or_insert(run);
                self.changed.push(key);
            }
            WorkerCommand::Stop { task, attempt, .. } => {
                if let Some(run) = self.runs.get_mut(&(task.clone(), *attempt)) {
                    run.is_stopping = true;
                }
            }
            WorkerCommand::Throttle {
                task,
                attempt,
                percent,
            } => {
                if let Some(run) = self.runs.get_mut(&(task.clone(), *attempt)) {
                    run.throttle = *percent;
                }
            }
            WorkerCommand::Forget { task, attempt } => {
                let forgotten =
                    |e: &EndedReport| e.ended.task == *task && e.ended.attempt == *attempt;
                self.ended.retain(|report| !forgotten(report));
            }
        }
    }

    fn running(&self, key: &(TaskId, AttemptNumber)) -> RunningAttempt {
        let run = &self.runs[key];
        RunningAttempt {
            task: key.0.clone(),
            attempt: key.1,
            phase: AttemptPhase::Running,
            size: run.size,
            endpoint: run
                .spec
                .class
                .is_latency_critical()
                .then_some(self.vm.address),
        }
    }

    fn usage(&self, matrix: &SlowdownMatrix, rng: &mut ChaCha8Rng) -> UsageReport {
        let tasks = self.runs.iter().map(|(key, run)| {
            let noise = 1.0 + rng.random_range(-MEASUREMENT_NOISE..MEASUREMENT_NOISE);
            let slowdown = self.slowdown(key, matrix) * noise;
            let signal = if run.spec.class.is_latency_critical() {
                TaskSignal::Latency(TimeSpan(BASE_LATENCY.mul_f64(slowdown.max(1.0))))
            } else {
                let rate = 1000.0 / slowdown.max(1.0) * f64::from(run.throttle) / 100.0;
                TaskSignal::Progress(progress_rate(rate))
            };
            TaskUsage {
                task: key.0.clone(),
                attempt: key.1,
                used: run.size,
                signal,
            }
        });
        UsageReport {
            age: TimeSpan(REPORT_AGE),
            tasks: tasks.collect(),
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the rate is between 0 and 1000"
)]
fn progress_rate(rate: f64) -> u32 {
    rate as u32
}

fn remaining_work(spec: &TaskSpec, checkpoint: Option<&CheckpointId>) -> f64 {
    let checkpointed =
        checkpoint.and_then(|id| id.as_str().rsplit('-').next()?.parse::<f64>().ok());
    let full_work = || {
        let span = spec.command.strip_prefix("run=")?;
        let span: TimeSpan = span.parse().ok()?;
        Some(span.0.as_secs_f64())
    };
    checkpointed
        .map(|millis| millis / 1000.0)
        .or_else(full_work)
        .unwrap_or(f64::INFINITY)
}
