//! The scheduler of one shard, owned under one term.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::{
    LogBatch, LogOffset, ShardEvent, ShardId, ShardTerm, TaskId, TaskSpec, TimePoint, VmId, VmRole,
};

use super::endpoint_feed::EndpointFeed;
use super::interference::InterferenceTable;
use super::message::{ShardAction, ShardInput};
use super::preemption::PreemptionTable;
use super::progress_feed::ProgressFeed;
use super::quota::QuotaTable;
use super::settings::SchedulerSettings;
use super::shard_map::ShardMap;
use super::shard_state::{ShardState, StateChange};
use super::status::ShardCounters;
use super::task_entry::TaskPhase;
use super::task_queue::TaskQueue;
use super::usage_book::UsageBook;
use super::wanted::{TaskGroup, WantedTasks};
use super::worker_entry::WorkerEntry;
use super::worker_health::FailureTable;
use crate::state::VmTable;

/// How far the owner of a shard has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStage {
    /// The shard's stream is being read up to the owner's own barrier.
    Replaying,
    /// The owner acts.
    Ready,
    /// The owner was paused and acts again once its term is confirmed by the log.
    Suspended,
    /// A newer owner holds the shard.
    Superseded,
}

/// The scheduler of one shard, owned under one term.
#[derive(Debug, Clone)]
pub struct ShardScheduler {
    pub(super) shard: ShardId,
    pub(super) term: ShardTerm,
    pub(super) map: ShardMap,
    pub(super) settings: SchedulerSettings,
    pub(super) stage: OwnerStage,
    pub(super) state: ShardState,
    pub(super) wanted: WantedTasks,
    pub(super) vms: Arc<VmTable>,
    pub(super) workers: BTreeMap<VmId, WorkerEntry>,
    pub(super) queue: TaskQueue,
    pub(super) usage: UsageBook,
    pub(super) interference: InterferenceTable,
    pub(super) quotas: QuotaTable,
    pub(super) preemption: PreemptionTable,
    pub(super) failures: FailureTable,
    pub(super) endpoints: EndpointFeed,
    pub(super) progress: ProgressFeed,
    pub(super) counters: ShardCounters,
    pub(super) outbox: Vec<ShardEvent>,
    pub(super) actions: Vec<ShardAction>,
    pub(super) log_retry_at: Option<TimePoint>,
    pub(super) plan_due: bool,
    /// Whether the log dropped entries that no snapshot stands for.
    pub(super) history_lost: bool,
    /// The batch groups that may have run in entries that are lost.
    pub(super) held: BTreeSet<TaskGroup>,
    /// When the owner started to act.
    pub(super) opened: TimePoint,
    last_input: TimePoint,
}

impl ShardScheduler {
    /// Creates the scheduler of a shard that was claimed under a term.
    ///
    /// Its first action is the barrier; it acts once it has read the barrier back.
    pub fn new(
        shard: ShardId,
        term: ShardTerm,
        map: ShardMap,
        settings: SchedulerSettings,
        now: TimePoint,
    ) -> Self {
        Self {
            shard,
            term,
            map,
            settings,
            stage: OwnerStage::Replaying,
            state: ShardState::new(shard),
            wanted: WantedTasks::default(),
            vms: Arc::default(),
            workers: BTreeMap::new(),
            queue: TaskQueue::default(),
            usage: UsageBook::default(),
            interference: InterferenceTable::default(),
            quotas: QuotaTable::default(),
            preemption: PreemptionTable::default(),
            failures: FailureTable::default(),
            endpoints: EndpointFeed::default(),
            progress: ProgressFeed::default(),
            counters: ShardCounters::default(),
            outbox: vec![ShardEvent::Opened],
            actions: Vec::new(),
            log_retry_at: None,
            plan_due: true,
            history_lost: false,
            held: BTreeSet::new(),
            opened: now,
            last_input: now,
        }
    }

    /// Returns how far the owner has come.
    pub fn stage(&self) -> OwnerStage {
        self.stage
    }

    /// Returns the state of the shard's tasks.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// Takes an input and returns what is to be done.
    pub fn handle(&mut self, now: TimePoint, input: ShardInput) -> Vec<ShardAction> {
        self.detect_pause(now);
        self.take_input(now, input);
        if self.stage != OwnerStage::Superseded {
            self.advance(now);
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    fn take_input(&mut self, now: TimePoint, input: ShardInput) {
        match input {
            ShardInput::Config(config) => {
                let changed = self.wanted.update(&config, &self.map, self.shard);
                self.refresh_groups(&changed);
                self.refresh_drains();
                self.refresh_quotas();
                self.endpoints.touch();
            }
            ShardInput::Vms(vms) => self.take_vms(now, vms),
            ShardInput::Restored(snapshot) => {
                self.state = ShardState::from_snapshot(snapshot);
                self.history_lost = false;
            }
            ShardInput::Read { offset, batch } => self.take_batch(now, offset, &batch),
            ShardInput::Lost => self.take_loss(),
            ShardInput::AppendFailed(events) => self.take_append_failure(now, &events),
            ShardInput::Seized { worker, outcome } => self.take_seizure(now, &worker, outcome),
            ShardInput::Exchanged {
                worker,
                sequence,
                outcome,
            } => self.take_exchange(now, &worker, sequence, outcome),
            ShardInput::PublishFailed => self.endpoints.republish(),
            ShardInput::ReportFailed => self.progress.report_again(),
            ShardInput::MoveFailed(task) => self.send_move(&task),
            ShardInput::Resolve { task, rerun } => self.resolve(&task, rerun),
            ShardInput::Tick => self.plan_due = true,
        }
    }

    /// Suspends an owner that was paused, since it may have been superseded meanwhile.
    fn detect_pause(&mut self, now: TimePoint) {
        let pause = now.since(self.last_input);
        self.last_input = now;
        if pause >= self.settings.pause_limit && self.stage == OwnerStage::Ready {
            self.stage = OwnerStage::Suspended;
            self.outbox.push(ShardEvent::Opened);
        }
    }

    fn take_batch(&mut self, now: TimePoint, offset: LogOffset, batch: &LogBatch<ShardEvent>) {
        let changes = self.state.apply(offset, batch, self.settings.rules);
        if self.settings.rules.check_term && self.state.term() > self.term {
            self.supersede();
            return;
        }
        let own = batch.term == self.term;
        if own && changes.contains(&StateChange::Opened) {
            self.open(now);
        }
        if self.stage == OwnerStage::Replaying {
            return;
        }
        for change in changes {
            self.take_change(now, change);
        }
        if own {
            self.settle_events(&batch.events);
        }
    }

    /// Takes in that entries are missing.
    ///
    /// An owner that acts can't know what it missed and gives the shard up; a later claim replays
    /// the stream.
    fn take_loss(&mut self) {
        match self.stage {
            OwnerStage::Replaying => self.history_lost = true,
            OwnerStage::Ready | OwnerStage::Suspended => self.supersede(),
            OwnerStage::Superseded => {}
        }
    }

    /// Starts to act, since the owner's barrier was read back with no higher one before it.
    fn open(&mut self, now: TimePoint) {
        let replayed = self.stage == OwnerStage::Replaying;
        self.stage = OwnerStage::Ready;
        if !replayed {
            return;
        }
        self.opened = now;
        self.hold_unknown_history();
        self.inherit_placements(now);
        self.take_vms(now, Arc::clone(&self.vms));
        self.endpoints.touch();
        let groups: BTreeSet<_> = self
            .wanted
            .groups()
            .map(|(group, _)| group.clone())
            .collect();
        self.refresh_groups(&groups);
        let moved: Vec<_> = self.state.tasks().map(|(task, _)| task.clone()).collect();
        for task in moved {
            self.progress.touch(&TaskGroup::of(&task));
            self.send_move(&task);
        }
    }

    /// Holds all batch groups if their tasks may have run in entries that are lost.
    ///
    /// A task without any entry would otherwise be placed as if it had never run.
    fn hold_unknown_history(&mut self) {
        if !self.history_lost {
            return;
        }
        let batch = self.wanted.groups().filter(|(_, wanted)| wanted.is_batch());
        self.held = batch.map(|(group, _)| group.clone()).collect();
    }

    /// Stops to act for good.
    pub(super) fn supersede(&mut self) {
        if self.stage != OwnerStage::Superseded {
            self.stage = OwnerStage::Superseded;
            self.outbox.clear();
            self.actions.clear();
            self.actions.push(ShardAction::Superseded);
        }
    }

    fn take_vms(&mut self, now: TimePoint, vms: Arc<VmTable>) {
        self.vms = vms;
        for vm in self.vms.live(VmRole::Worker) {
            if self.map.worker_shard(&vm.vm, &vm.region) == Some(self.shard) {
                self.workers.entry(vm.vm.clone()).or_default();
            }
        }
        if self.vms.as_of().is_none() {
            return;
        }
        for (id, worker) in &mut self.workers {
            worker.take_listing(now, self.vms.vm(id));
        }
        self.refresh_drains();
        self.refresh_quotas();
        self.plan_due = true;
    }

    fn refresh_drains(&mut self) {
        for worker in self.workers.values_mut() {
            let vm = worker.vm.as_ref();
            worker.drained = vm.is_some_and(|vm| self.wanted.is_drained(vm));
        }
        self.plan_due = true;
    }

    fn take_append_failure(&mut self, now: TimePoint, events: &[ShardEvent]) {
        self.log_retry_at = Some(now + self.settings.call_retry);
        for event in events {
            match event {
                ShardEvent::Opened => self.outbox.push(ShardEvent::Opened),
                ShardEvent::Placed {
                    task,
                    attempt,
                    worker,
                    ..
                } => self.fail_placement(task, *attempt, worker),
                ShardEvent::Ended { task, attempt, .. } => self.repropose_end(task, *attempt),
                ShardEvent::MovedOut { task, .. } => self.refresh_task(task),
                ShardEvent::Cancelled { job, generation } => {
                    let group = TaskGroup {
                        record: job.clone(),
                        generation: *generation,
                    };
                    self.queue.cancel(&group);
                }
                ShardEvent::Resolved { .. }
                | ShardEvent::Unknown { .. }
                | ShardEvent::MovedIn { .. }
                | ShardEvent::Snapshot(_) => {}
            }
        }
    }

    fn resolve(&mut self, task: &TaskId, rerun: bool) {
        let Some(entry) = self.state.task(task) else {
            return;
        };
        if entry.phase == TaskPhase::Unknown {
            self.outbox.push(ShardEvent::Resolved {
                task: task.clone(),
                attempt: entry.attempts,
                rerun,
            });
        }
    }

    /// Does what is due now that the input is taken in.
    fn advance(&mut self, now: TimePoint) {
        let log_waits = self.log_retry_at.is_some_and(|at| now < at);
        if !log_waits {
            self.log_retry_at = None;
        }
        let known = self.wanted.applied() >= self.state.config_applied();
        if self.stage == OwnerStage::Ready && known {
            self.settle_lost(now);
            self.stop_unwanted(now);
            self.propose_ends();
            if !log_waits {
                self.propose_unlogged();
                self.propose_cancels();
                self.plan(now);
                self.move_blocked(now);
            }
            self.feed_endpoints(now);
            self.feed_progress(now);
        }
        if matches!(self.stage, OwnerStage::Ready | OwnerStage::Suspended) {
            self.call_workers(now);
        }
    }

    fn flush(&mut self) {
        let held = self.log_retry_at.is_some() && self.stage != OwnerStage::Superseded;
        if !self.outbox.is_empty() && !held {
            let events = std::mem::take(&mut self.outbox);
            self.actions.insert(0, ShardAction::Append(events));
        }
    }

    /// Returns what to run for a task, if its record asks for it.
    pub(super) fn spec(&self, task: &TaskId) -> Option<Arc<TaskSpec>> {
        let wanted = self.wanted.group(&TaskGroup::of(task))?;
        (task.index < wanted.count).then(|| Arc::new(wanted.spec(task.index)))
    }

    /// Returns the time after which a VM that the list shows as gone certainly runs nothing.
    pub(super) fn death_wait(&self) -> Duration {
        self.settings.list_lag + self.settings.lease + self.settings.drift_margin
    }
}
