//! A simulated cluster of one shard: a log, workers and owners in memory.
//!
//! The workers record their runs, which [`find_violations`] checks.
#![allow(dead_code, reason = "each test file uses a part of the support")]
#![allow(
    unreachable_pub,
    reason = "each test file includes the support as a module"
)]

pub mod fake_worker;
pub mod fixture;

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_core::schedule::{
    OwnerStage, SchedulerSettings, ShardAction, ShardInput, ShardScheduler, ShardState, TaskPhase,
    WorkerFault,
};
use geraniumshed_core::state::{ConfigState, EndpointDirectory, VmTable};
use geraniumshed_model::prelude::*;

use self::fake_worker::FakeWorker;
use self::fixture::shard_map;

/// An action that an owner requested and that is not performed yet.
#[derive(Debug, Clone, PartialEq)]
pub struct PendingAction {
    /// The owner that requested it.
    pub owner: usize,
    /// The requested action.
    pub action: ShardAction,
    /// When the owner requested it.
    pub since: TimePoint,
}

/// The outcome of a pending action.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ActionOutcome {
    /// It takes effect, and its owner gets the reply.
    Done,
    /// It has no effect, and its owner is told so.
    Refused,
    /// It takes effect, and its owner gets no reply.
    AnswerLost,
    /// It has no effect, and its owner gets no reply.
    RequestLost,
}

/// One process of a daemon that claimed the shard and may have been superseded since.
#[derive(Debug, Clone)]
pub struct FakeOwner {
    pub scheduler: ShardScheduler,
    pub term: ShardTerm,
    pub read: usize,
    pub alive: bool,
}

/// A simulated cluster of one shard.
#[derive(Debug, Clone)]
pub struct FakeCluster {
    pub now: TimePoint,
    pub settings: SchedulerSettings,
    pub log: Vec<LogBatch<ShardEvent>>,
    pub workers: BTreeMap<VmId, FakeWorker>,
    pub owners: Vec<FakeOwner>,
    pub pending: VecDeque<PendingAction>,
    pub config: Arc<ConfigState>,
    pub config_end: LogOffset,
    pub vms: Arc<VmTable>,
    pub directory: EndpointDirectory,
    pub progress: BTreeMap<RecordName, (u32, u32)>,
    pub moves: Vec<(ShardId, ShardEvent)>,
    pub log_down: bool,
    next_term: u64,
}

/// The longest time that a call or an append is in flight; later ones never arrive.
const NETWORK_DELAY: Duration = Duration::from_secs(10);

/// The only shard of the cluster.
pub const SHARD: ShardId = ShardId(0);

impl FakeCluster {
    /// Creates a cluster with workers and without owners.
    pub fn new(settings: SchedulerSettings, workers: Vec<FakeWorker>) -> Self {
        let mut cluster = Self {
            now: TimePoint(1_000_000),
            settings,
            log: Vec::new(),
            workers: workers.into_iter().map(|w| (w.vm.vm.clone(), w)).collect(),
            owners: Vec::new(),
            pending: VecDeque::new(),
            config: Arc::default(),
            config_end: LogOffset(0),
            vms: Arc::default(),
            directory: EndpointDirectory::default(),
            progress: BTreeMap::new(),
            moves: Vec::new(),
            log_down: false,
            next_term: 1,
        };
        cluster.list_vms();
        cluster
    }

    /// Starts a new owner, which claims the shard, and returns its index.
    pub fn take_over(&mut self) -> usize {
        let term = ShardTerm(self.next_term);
        self.next_term += 1;
        let scheduler =
            ShardScheduler::new(SHARD, term, shard_map(), self.settings.clone(), self.now);
        self.owners.push(FakeOwner {
            scheduler,
            term,
            read: 0,
            alive: true,
        });
        let owner = self.owners.len() - 1;
        self.input(owner, ShardInput::Config(Arc::clone(&self.config)));
        self.input(owner, ShardInput::Vms(Arc::clone(&self.vms)));
        owner
    }

    /// Sends an input to an owner and queues the actions that it requests.
    pub fn input(&mut self, owner: usize, input: ShardInput) {
        let entry = &mut self.owners[owner];
        if !entry.alive {
            return;
        }
        for action in entry.scheduler.handle(self.now, input) {
            let since = self.now;
            self.pending.push_back(PendingAction {
                owner,
                action,
                since,
            });
        }
    }

    /// Publishes a record.
    pub fn publish(&mut self, name: &str, spec: RecordSpec) {
        let key = RecordKey {
            kind: spec.kind(),
            name: name.parse().expect("a valid name"),
        };
        let replaces = self.config.generation(&key);
        self.configure(ConfigEvent::Publish {
            key,
            schema: SchemaVersion::V2,
            replaces,
            body: RecordBody::Known(spec),
        });
    }

    /// Withdraws a record.
    pub fn withdraw(&mut self, kind: RecordKind, name: &str) {
        let key = RecordKey {
            kind,
            name: name.parse().expect("a valid name"),
        };
        let replaces = self.config.generation(&key);
        self.configure(ConfigEvent::Withdraw { key, replaces });
    }

    fn configure(&mut self, event: ConfigEvent) {
        let mut config = ConfigState::clone(&self.config);
        config.apply(self.config_end, &event);
        self.config_end = self.config_end.next();
        self.config = Arc::new(config);
        for owner in 0..self.owners.len() {
            self.input(owner, ShardInput::Config(Arc::clone(&self.config)));
        }
    }

    /// Updates the list of VMs and sends it to all owners.
    pub fn list_vms(&mut self) {
        let mut vms = VmTable::clone(&self.vms);
        let listed = self
            .workers
            .values()
            .filter(|worker| worker.exists && !worker.hidden);
        let entries = listed.map(|worker| worker.vm.clone()).collect();
        vms.apply(self.now, Duration::ZERO, true, entries);
        self.vms = Arc::new(vms);
        for owner in 0..self.owners.len() {
            self.input(owner, ShardInput::Vms(Arc::clone(&self.vms)));
        }
    }

    /// Sends the next entry of the log to an owner; returns whether there was one.
    pub fn read_next(&mut self, owner: usize) -> bool {
        let entry = &mut self.owners[owner];
        let Some(batch) = self.log.get(entry.read).cloned() else {
            return false;
        };
        let offset = LogOffset(entry.read as u64);
        entry.read += 1;
        self.input(owner, ShardInput::Read { offset, batch });
        true
    }

    /// Performs a pending action with an outcome; an action that is too late is lost.
    pub fn perform(&mut self, index: usize, action_outcome: ActionOutcome) {
        let Some(work) = self.pending.remove(index) else {
            return;
        };
        let owner = work.owner;
        let late = self.now.since(work.since) > NETWORK_DELAY;
        let action_outcome = if late && action_outcome != ActionOutcome::Refused {
            ActionOutcome::RequestLost
        } else {
            action_outcome
        };
        let effect = matches!(
            action_outcome,
            ActionOutcome::Done | ActionOutcome::AnswerLost
        );
        match work.action {
            ShardAction::Append(events) => {
                if effect && !self.log_down {
                    self.append(owner, events.clone());
                }
                if action_outcome != ActionOutcome::Done || self.log_down {
                    self.input(owner, ShardInput::AppendFailed(events));
                }
            }
            ShardAction::Seize {
                worker, request, ..
            } => {
                let reply = self.seize(&worker, &request, effect);
                let outcome = call_result(reply, action_outcome);
                self.input(owner, ShardInput::Seized { worker, outcome });
            }
            ShardAction::Exchange {
                worker, request, ..
            } => {
                let sequence = request.sequence;
                let reply = self.exchange(&worker, &request, effect);
                let outcome = call_result(reply, action_outcome);
                self.input(
                    owner,
                    ShardInput::Exchanged {
                        worker,
                        sequence,
                        outcome,
                    },
                );
            }
            ShardAction::Publish(events) => {
                let term = self.owners[owner].term;
                for event in &events {
                    self.directory.apply(term, event);
                }
            }
            ShardAction::Report(events) => self.apply_reports(&events),
            ShardAction::Move { to, event } => self.moves.push((to, event)),
            ShardAction::Superseded => {}
        }
    }

    fn append(&mut self, owner: usize, events: Vec<ShardEvent>) {
        let term = self.owners[owner].term;
        let mark = WriterMark {
            incarnation: DaemonIncarnation(term.0),
            sequence: self.log.len() as u64 + 1,
        };
        self.log.push(LogBatch { mark, term, events });
    }

    fn seize(
        &mut self,
        worker: &VmId,
        request: &SeizeRequest,
        effect: bool,
    ) -> Result<SeizeReply, WorkerFault> {
        let now = self.now;
        let worker = self
            .workers
            .get_mut(worker)
            .filter(|w| w.reachable && effect);
        worker.ok_or(WorkerFault::NoEffect)?.seize(now, request)
    }

    fn exchange(
        &mut self,
        id: &VmId,
        request: &ExchangeRequest,
        effect: bool,
    ) -> Result<ExchangeReply, WorkerFault> {
        let now = self.now;
        let rules = self.settings.rules;
        let others: Vec<_> = self
            .workers
            .iter()
            .filter(|(other, _)| *other != id)
            .flat_map(|(_, worker)| worker.running_batch(now))
            .collect();
        let worker = self.workers.get_mut(id).filter(|w| w.reachable && effect);
        let worker = worker.ok_or(WorkerFault::NoEffect)?;
        worker.exchange(now, request, rules, &others)
    }

    fn apply_reports(&mut self, events: &[ConfigEvent]) {
        for event in events {
            if let ConfigEvent::Progress {
                job,
                completed,
                failed,
                ..
            } = event
            {
                self.progress
                    .insert(job.name.clone(), (*completed, *failed));
            }
        }
    }

    /// Performs all actions and reads all log entries until none are left, at the current time.
    pub fn run_until_idle(&mut self) {
        for _ in 0..10_000 {
            let mut quiet = true;
            while !self.pending.is_empty() {
                quiet = false;
                let action_outcome = if self.log_down && self.is_append(0) {
                    ActionOutcome::Refused
                } else {
                    ActionOutcome::Done
                };
                self.perform(0, action_outcome);
            }
            for owner in 0..self.owners.len() {
                while self.owners[owner].alive && self.read_next(owner) {
                    quiet = false;
                }
            }
            if quiet {
                return;
            }
        }
        panic!("the cluster does not become idle");
    }

    fn is_append(&self, index: usize) -> bool {
        let work = self.pending.get(index);
        work.is_some_and(|work| matches!(work.action, ShardAction::Append(_)))
    }

    /// Runs the cluster for a time in steps of 50 ms.
    pub fn run(&mut self, span: Duration) {
        self.run_in_steps(span, Duration::from_millis(50));
    }

    /// Runs the cluster for a time in steps of a length, with a tick for each owner per step.
    pub fn run_in_steps(&mut self, span: Duration, step: Duration) {
        let start = self.now;
        let end = start + span;
        while self.now < end {
            let before = self.now.since(start).as_secs();
            self.now = self.now + step;
            for worker in self.workers.values_mut() {
                worker.advance(self.now);
            }
            if self.now.since(start).as_secs() > before {
                self.list_vms();
            }
            for owner in 0..self.owners.len() {
                self.input(owner, ShardInput::Tick);
            }
            self.run_until_idle();
        }
    }

    /// Returns the newest owner that is ready.
    pub fn ready_owner(&self) -> &ShardScheduler {
        let ready = self
            .owners
            .iter()
            .rev()
            .find(|owner| owner.alive && owner.scheduler.stage() == OwnerStage::Ready);
        &ready.expect("an owner is ready").scheduler
    }

    /// Returns all recorded runs of a record's tasks, in the order of their start.
    pub fn runs(&self, record: &str) -> Vec<fake_worker::TaskRun> {
        let mut runs: Vec<_> = self
            .workers
            .values()
            .flat_map(|worker| worker.runs.iter())
            .filter(|run| run.task.record.as_str() == record)
            .cloned()
            .collect();
        runs.sort_by_key(|run| (run.begin, run.task.clone(), run.attempt));
        runs
    }

    /// Returns the endpoints of a service that take requests.
    pub fn ready_endpoints(&self, service: &str) -> Vec<EndpointEntry> {
        let service = service.parse().expect("a valid name");
        let entries = self.directory.endpoints(&service);
        let ready = entries.filter(|entry| entry.phase == EndpointPhase::Ready);
        ready.cloned().collect()
    }
}

fn call_result<R>(
    reply: Result<R, WorkerFault>,
    action_outcome: ActionOutcome,
) -> Result<R, WorkerFault> {
    match action_outcome {
        ActionOutcome::Done | ActionOutcome::Refused => reply,
        ActionOutcome::AnswerLost | ActionOutcome::RequestLost => Err(WorkerFault::AnswerLost),
    }
}

/// Returns the violations that workers detected or that their recorded runs show.
///
/// The runs of a task must start in the order of their attempts, and none may start after the
/// task's completion was logged. A task that is not idempotent may resume only from the checkpoint
/// of its previous run.
pub fn find_violations(cluster: &FakeCluster, idempotent: bool) -> Vec<String> {
    let workers = cluster.workers.values();
    let mut violations: Vec<_> = workers.flat_map(|w| w.violations.clone()).collect();
    let mut tasks: BTreeMap<TaskId, Vec<fake_worker::TaskRun>> = BTreeMap::new();
    for worker in cluster.workers.values() {
        for run in worker.runs.iter().filter(|run| run.task.generation.0 > 0) {
            tasks.entry(run.task.clone()).or_default().push(run.clone());
        }
    }
    let mut state = ShardState::new(SHARD);
    for (offset, batch) in cluster.log.iter().enumerate() {
        let offset = LogOffset(offset as u64);
        state.apply(offset, batch, cluster.settings.rules);
    }
    for (task, mut runs) in tasks {
        runs.sort_by_key(|run| run.attempt);
        let in_order = runs.is_sorted_by_key(|run| run.begin);
        let numbers = runs
            .windows(2)
            .all(|pair| pair[0].attempt < pair[1].attempt);
        if !in_order || !numbers {
            violations.push(format!("{task} has attempts out of order: {runs:?}"));
        }
        let entry = state.task(&task);
        let completed = entry.filter(|entry| entry.phase == TaskPhase::Completed);
        let last = runs.last().map(|run| run.attempt);
        if completed.is_some_and(|entry| last > Some(entry.attempts)) {
            violations.push(format!("{task} ran after its end was logged: {runs:?}"));
        }
        for pair in runs.windows(2) {
            let may_follow = match &pair[0].outcome {
                Some(TaskOutcome::Stopped {
                    checkpoint: Some(checkpoint),
                }) => idempotent || fake_worker::resume_point(checkpoint) == pair[1].resumed_at,
                // A worker that restarts before its owner logged the end loses the end.
                Some(
                    TaskOutcome::Completed
                    | TaskOutcome::Failed { .. }
                    | TaskOutcome::Stopped { checkpoint: None },
                )
                | None => idempotent,
                Some(TaskOutcome::NotStarted { .. }) => true,
            };
            if !may_follow {
                violations.push(format!("{task} ran again: {pair:?}"));
            }
        }
    }
    violations
}
