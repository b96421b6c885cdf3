//! The state of a simulated worker and its protocol rules.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_model::prelude::{
    AttemptNumber, AttemptPhase, BootId, CheckpointId, CommandResult, EndedAttempt, EndedReport,
    ExchangeReply, ExchangeRequest, GroupName, ResourceSize, SeizeReply, SeizeRequest, ShardTerm,
    TaskClass, TaskId, TaskOutcome, TaskSpec, TimePoint, TimeSpan, VmId, WorkerCommand,
};
use rand::RngExt;
use smol_str::{SmolStr, format_smolstr};

use super::attempt::{AttemptTransition, ResumePoint, WorkerAttempt};
use super::checkpoint::CheckpointStore;
use super::interference::InterferenceMatrix;
use super::recorder::{AttemptBegin, WorkerRecorder};
use super::usage::{UsageHistory, measure};
use crate::command::SimulateCommand;
use crate::endpoint::{EndpointConfig, EndpointServer};
use crate::history::{ExecutionEnd, HistoryRecorder};
use crate::seed::seeded_rng;

/// The interval between usage samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// The configuration of a worker.
#[derive(Debug, Clone)]
pub struct WorkerConfig {
    /// The VM that the worker runs on.
    pub vm: VmId,
    /// The resources of the VM.
    pub size: ResourceSize,
    /// The delay until a usage sample is reported.
    pub usage_lag: Duration,
    /// The seed of all random draws.
    pub seed: u64,
    /// Whether each endpoint is behind a fault proxy.
    pub proxied: bool,
    /// The slowdown that colocated tasks cause each other.
    pub interference: InterferenceMatrix,
    /// The checkpoint storage, shared by all workers.
    pub checkpoints: CheckpointStore,
    /// The recorder of everything that runs.
    pub recorder: HistoryRecorder,
}

/// The reason why a worker rejects a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerRefusal {
    /// The worker has accepted a higher term, which is attached.
    StaleTerm(ShardTerm),
    /// The worker has restarted and now has the attached boot id.
    WrongBoot(BootId),
    /// The worker has already processed the attached, later sequence number.
    StaleSequence(u64),
}

/// The parameters of a start command.
struct StartCommand {
    spec: TaskSpec,
    attempt: AttemptNumber,
    size: ResourceSize,
    checkpoint: Option<CheckpointId>,
}

/// The state of a simulated worker.
#[derive(Debug)]
pub struct WorkerState {
    config: WorkerConfig,
    recorder: WorkerRecorder,
    boot: BootId,
    term: ShardTerm,
    sequence: u64,
    lease: Option<TimePoint>,
    running: BTreeMap<TaskId, WorkerAttempt>,
    ended: BTreeMap<(TaskId, AttemptNumber), EndedReport>,
    /// The highest attempt number of each task seen since boot.
    latest: BTreeMap<TaskId, AttemptNumber>,
    /// The tasks whose attempts changed since the last exchange.
    changed: BTreeSet<TaskId>,
    usage: UsageHistory,
    fails_everything: bool,
}

impl WorkerState {
    /// Creates a worker after its first boot.
    pub fn new(config: WorkerConfig) -> Self {
        Self {
            recorder: WorkerRecorder::new(&config),
            config,
            boot: BootId(1),
            term: ShardTerm::default(),
            sequence: 0,
            lease: None,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            latest: BTreeMap::new(),
            changed: BTreeSet::new(),
            usage: UsageHistory::default(),
            fails_everything: false,
        }
    }

    /// Sets whether every attempt that starts fails.
    pub fn set_fails_everything(&mut self, fails: bool) {
        self.fails_everything = fails;
    }

    /// Returns the running endpoints with their tasks.
    pub fn endpoints(&mut self) -> impl Iterator<Item = (&TaskId, &mut EndpointServer)> {
        self.running
            .iter_mut()
            .filter_map(|(task, attempt)| Some((task, attempt.endpoint.as_mut()?)))
    }

    /// Kills all attempts and restarts with an empty state and the next boot id.
    pub fn reboot(&mut self, now: TimePoint) {
        self.advance(now);
        for (_, attempt) in std::mem::take(&mut self.running) {
            self.recorder.kill(now, &attempt);
            if let Some(endpoint) = attempt.endpoint {
                endpoint.end(ExecutionEnd::Killed);
            }
        }
        let next = Self::new(self.config.clone());
        let boot = self.boot.next();
        let fails_everything = self.fails_everything;
        *self = next;
        self.boot = boot;
        self.fails_everything = fails_everything;
    }

    /// Accepts the owner of a shard with an equal or higher term and returns the inventory.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the worker has accepted a higher term.
    pub fn seize(
        &mut self,
        now: TimePoint,
        request: &SeizeRequest,
    ) -> Result<SeizeReply, WorkerRefusal> {
        self.advance(now);
        if request.term < self.term {
            return Err(WorkerRefusal::StaleTerm(self.term));
        }
        if request.term > self.term {
            self.sequence = 0;
        }
        self.term = request.term;
        self.changed.clear();
        Ok(SeizeReply {
            boot: self.boot,
            size: self.config.size,
            running: self.running.values().map(WorkerAttempt::report).collect(),
            ended: self.ended.values().cloned().collect(),
        })
    }

    /// Applies the owner's commands, renews the lease and reports what changed.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the boot id or the term differs from the worker's, or if the sequence
    /// number is not higher than the last one.
    pub fn exchange(
        &mut self,
        now: TimePoint,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, WorkerRefusal> {
        self.advance(now);
        if request.boot != self.boot {
            return Err(WorkerRefusal::WrongBoot(self.boot));
        }
        if request.term != self.term {
            return Err(WorkerRefusal::StaleTerm(self.term));
        }
        if request.sequence <= self.sequence {
            return Err(WorkerRefusal::StaleSequence(self.sequence));
        }
        self.sequence = request.sequence;
        if let Some(lease) = request.lease {
            self.lease = Some(now + lease.0);
        }
        let commands = request.commands.into_iter();
        let results = commands
            .map(|command| self.apply_command(now, command))
            .collect();
        self.advance(now);
        let changed = std::mem::take(&mut self.changed);
        let changed = changed.iter().filter_map(|task| self.running.get(task));
        let usage = request.with_usage.then_some(self.config.usage_lag);
        Ok(ExchangeReply {
            results,
            changed: changed.map(WorkerAttempt::report).collect(),
            ended: self.ended.values().cloned().collect(),
            usage: usage.and_then(|lag| self.usage.report(now, lag)),
        })
    }

    /// Advances the lease, the attempts and the usage samples to the current time.
    pub fn advance(&mut self, now: TimePoint) {
        self.expire_lease(now);
        let tasks: Vec<TaskId> = self.running.keys().cloned().collect();
        for task in tasks {
            self.advance_attempt(now, &task);
        }
        self.update_speeds();
        if self.usage.is_due(now, SAMPLE_INTERVAL) {
            self.usage
                .add(now, self.running.values().map(measure).collect());
        }
    }

    /// Returns when the state changes next if no call arrives.
    pub fn next_change(&self, now: TimePoint) -> Option<TimePoint> {
        let attempts = self.running.values();
        let changes = attempts.filter_map(|attempt| attempt.next_change(now));
        changes.chain(self.lease).min()
    }

    /// Stops all batch tasks once the lease has expired.
    fn expire_lease(&mut self, now: TimePoint) {
        let Some(expiry) = self.lease.filter(|lease| *lease <= now) else {
            return;
        };
        self.lease = None;
        let batch = self.running.iter().filter(|(_, a)| a.is_batch());
        let tasks: Vec<TaskId> = batch.map(|(task, _)| task.clone()).collect();
        for task in tasks {
            // Only work up to the expiry counts.
            let Some(attempt) = self.running.get_mut(&task) else {
                continue;
            };
            if attempt.counted_until < expiry {
                attempt.count_work(expiry);
            }
            let is_done =
                attempt.phase == AttemptPhase::Running && attempt.work >= attempt.total_work();
            if is_done {
                self.advance_attempt(expiry, &task);
                continue;
            }
            let is_saved = attempt.command.checkpoint.is_some();
            self.stop_attempt(now, &task, is_saved);
        }
    }

    fn advance_attempt(&mut self, now: TimePoint, task: &TaskId) {
        let Some(attempt) = self.running.get_mut(task) else {
            return;
        };
        match attempt.advance(now) {
            AttemptTransition::Unchanged => {}
            AttemptTransition::Started => {
                self.changed.insert(task.clone());
            }
            AttemptTransition::Finished => {
                let outcome = if attempt.will_fail {
                    TaskOutcome::Failed {
                        reason: "the task failed at random, as its `fail` parameter demands".into(),
                    }
                } else {
                    TaskOutcome::Completed
                };
                self.end_attempt(now, task, outcome);
            }
            AttemptTransition::Stopped { is_saved } => self.stop_attempt(now, task, is_saved),
        }
    }

    fn stop_attempt(&mut self, now: TimePoint, task: &TaskId, is_saved: bool) {
        let Some(attempt) = self.running.get(task) else {
            return;
        };
        let checkpoint = is_saved.then(|| {
            let checkpoints = &self.config.checkpoints;
            checkpoints.save(task, attempt.attempt, attempt.work)
        });
        self.end_attempt(now, task, TaskOutcome::Stopped { checkpoint });
    }

    fn end_attempt(&mut self, now: TimePoint, task: &TaskId, outcome: TaskOutcome) {
        let Some(attempt) = self.running.remove(task) else {
            return;
        };
        self.recorder.end(now, &attempt, &outcome);
        let run_time = now.since(attempt.begin);
        self.add_ended(task, attempt.attempt, outcome, run_time);
        if let Some(endpoint) = attempt.endpoint {
            endpoint.end(ExecutionEnd::CutOff);
        }
    }

    fn add_ended(
        &mut self,
        task: &TaskId,
        attempt: AttemptNumber,
        outcome: TaskOutcome,
        run_time: Duration,
    ) {
        let report = EndedReport {
            ended: EndedAttempt {
                task: task.clone(),
                attempt,
                outcome,
            },
            run_time: TimeSpan(run_time),
        };
        self.changed.remove(task);
        self.ended.insert((task.clone(), attempt), report);
    }

    /// Updates the speed of each attempt according to the load of its neighbours.
    fn update_speeds(&mut self) {
        let loads: Vec<(TaskId, GroupName, f64)> = self
            .running
            .iter()
            .map(|(task, a)| (task.clone(), a.spec.group.clone(), a.load()))
            .collect();
        for (task, attempt) in &mut self.running {
            let others = loads.iter().filter(|(other, _, _)| other != task);
            let neighbours = others.map(|(_, group, load)| (group, *load));
            let interference = &self.config.interference;
            let slowdown = interference.slowdown(&attempt.spec.group, neighbours);
            attempt.speed = attempt.throttle.min(100) * 10_000 / slowdown;
            if let Some(endpoint) = &attempt.endpoint {
                endpoint.set_slowdown(slowdown);
            }
        }
    }

    fn apply_command(&mut self, now: TimePoint, command: WorkerCommand) -> CommandResult {
        match command {
            WorkerCommand::Start {
                spec,
                attempt,
                size,
                checkpoint,
            } => self.start(
                now,
                StartCommand {
                    spec,
                    attempt,
                    size,
                    checkpoint,
                },
            ),
            WorkerCommand::Stop {
                task,
                attempt,
                grace,
            } => {
                self.stop(now, &task, attempt, grace.0);
                CommandResult::Done
            }
            WorkerCommand::Throttle {
                task,
                attempt,
                percent,
            } => self.throttle(now, &task, attempt, percent),
            WorkerCommand::Forget { task, attempt } => {
                self.ended.remove(&(task, attempt));
                CommandResult::Done
            }
        }
    }

    /// Starts an attempt if its number is the highest seen of its task.
    fn start(&mut self, now: TimePoint, start: StartCommand) -> CommandResult {
        let task = start.spec.task.clone();
        let latest = self.latest.get(&task).copied().unwrap_or_default();
        if start.attempt == latest {
            return CommandResult::Done;
        }
        if start.attempt < latest {
            return refused(format_smolstr!("attempt {latest} of the task is newer"));
        }
        if self.running.contains_key(&task) {
            return refused("an earlier attempt is still running");
        }
        if start.spec.class == TaskClass::Batch && self.lease.is_none() {
            return refused("the worker has no lease");
        }
        if !self.has_room(&start.size) {
            self.recorder.overload(now, &task, start.attempt);
            return refused("the worker has no room for the attempt");
        }
        self.latest.insert(task.clone(), start.attempt);
        if let Err(reason) = self.launch(now, start) {
            let attempt = self.latest[&task];
            self.add_ended(
                &task,
                attempt,
                TaskOutcome::Failed { reason },
                Duration::ZERO,
            );
        }
        CommandResult::Done
    }

    fn has_room(&self, size: &ResourceSize) -> bool {
        let reserved = self
            .running
            .values()
            .fold(*size, |sum, attempt| sum.plus(&attempt.size));
        reserved.fits(&self.config.size)
    }

    fn launch(&mut self, now: TimePoint, start: StartCommand) -> Result<(), SmolStr> {
        let command = SimulateCommand::parse(&start.spec.command, start.spec.class)?;
        let resume = self.resume_point(&start.spec.task, start.checkpoint.clone())?;
        let endpoint = match start.spec.class {
            TaskClass::Batch => None,
            TaskClass::Service | TaskClass::Listener => Some(self.open_endpoint(&start, &command)?),
        };
        let begin = AttemptBegin {
            spec: &start.spec,
            attempt: start.attempt,
            size: start.size,
            boot: self.boot,
            command: &command,
            resume: &resume,
        };
        let placement = self.recorder.begin(now, &begin);
        let will_fail = self.draw_failure(&start, &command);
        let attempt = WorkerAttempt {
            attempt: start.attempt,
            size: start.size,
            phase: AttemptPhase::Starting,
            placement,
            begin: now,
            ready: now + command.start,
            stop_deadline: None,
            work: resume.work,
            counted_until: now,
            speed: 1000,
            throttle: 100,
            endpoint,
            will_fail,
            command,
            spec: start.spec,
        };
        let task = attempt.spec.task.clone();
        self.changed.insert(task.clone());
        self.running.insert(task.clone(), attempt);
        if self.fails_everything {
            let reason = "the worker fails every attempt because of an injected fault".into();
            self.end_attempt(now, &task, TaskOutcome::Failed { reason });
        }
        Ok(())
    }

    fn resume_point(
        &self,
        task: &TaskId,
        checkpoint: Option<CheckpointId>,
    ) -> Result<ResumePoint, SmolStr> {
        let Some(id) = checkpoint else {
            return Ok(ResumePoint {
                checkpoint: None,
                work: Duration::ZERO,
            });
        };
        let work = self.config.checkpoints.work(&id, task);
        let work = work.ok_or_else(|| format_smolstr!("checkpoint {id} is lost"))?;
        Ok(ResumePoint {
            checkpoint: Some(id),
            work,
        })
    }

    fn open_endpoint(
        &self,
        start: &StartCommand,
        command: &SimulateCommand,
    ) -> Result<EndpointServer, SmolStr> {
        let slots = usize::try_from(start.spec.slots.0.max(1)).unwrap_or(1);
        let connections = usize::try_from(start.spec.connections.max(1)).unwrap_or(1);
        let config = EndpointConfig {
            name: format_smolstr!("{}@{}", start.spec.task, start.attempt),
            service: start.spec.task.record.as_str().into(),
            vm: self.config.vm.as_str().into(),
            slots,
            connections,
            command: command.clone(),
            seed: self.config.seed,
            proxied: self.config.proxied,
        };
        EndpointServer::bind(config, self.config.recorder.clone())
            .map_err(|error| format_smolstr!("no port for the endpoint: {error}"))
    }

    fn draw_failure(&self, start: &StartCommand, command: &SimulateCommand) -> bool {
        let name = format!("{}@{}", start.spec.task, start.attempt);
        let mut rng = seeded_rng(self.config.seed, &["failure", &name]);
        rng.random_bool(command.fail)
    }

    /// Stops an attempt, or prevents its start if its start command has not arrived yet.
    fn stop(&mut self, now: TimePoint, task: &TaskId, attempt: AttemptNumber, grace: Duration) {
        if let Some(running) = self.running.get_mut(task)
            && running.attempt == attempt
        {
            running.begin_stop(now, grace);
            self.changed.insert(task.clone());
            return;
        }
        let latest = self.latest.get(task).copied().unwrap_or_default();
        if attempt > latest {
            self.latest.insert(task.clone(), attempt);
            let outcome = TaskOutcome::NotStarted {
                reason: "the attempt was stopped before its start command arrived".into(),
            };
            self.add_ended(task, attempt, outcome, Duration::ZERO);
        }
    }

    fn throttle(
        &mut self,
        now: TimePoint,
        task: &TaskId,
        attempt: AttemptNumber,
        percent: u32,
    ) -> CommandResult {
        match self.running.get_mut(task) {
            Some(running) if running.attempt == attempt => {
                running.count_work(now);
                running.throttle = percent;
                CommandResult::Done
            }
            _ => refused("the attempt does not run"),
        }
    }
}

fn refused(reason: impl Into<SmolStr>) -> CommandResult {
    CommandResult::Refused {
        reason: reason.into(),
    }
}
