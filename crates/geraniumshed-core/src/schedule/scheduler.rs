//! The scheduler of one shard, owned under one term.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::{
    LogBatch, LogOffset, ShardEvent, ShardId, ShardTerm, TaskId, TaskSpec, TimePoint, VmId, VmRole,
};

use super::desired::{DesiredTasks, TaskGroup};
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
use super::usage_estimates::UsageEstimates;
use super::worker_entry::WorkerEntry;
use super::worker_health::FailureTable;
use crate::state::VmTable;

/// The stage of a shard's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnerStage {
    /// The owner reads the shard's stream up to its own barrier, a [`ShardEvent::Opened`] event.
    Replaying,
    /// The owner has read its barrier and schedules tasks.
    Ready,
    /// The process was paused; the owner waits until it reads a new barrier of its term back.
    Suspended,
    /// A newer owner has claimed the shard; this one does nothing any more.
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
    pub(super) desired: DesiredTasks,
    pub(super) vms: Arc<VmTable>,
    pub(super) workers: BTreeMap<VmId, WorkerEntry>,
    pub(super) queue: TaskQueue,
    pub(super) usage: UsageEstimates,
    pub(super) interference: InterferenceTable,
    pub(super) quotas: QuotaTable,
    pub(super) preemption: PreemptionTable,
    pub(super) failures: FailureTable,
    pub(super) endpoints: EndpointFeed,
    pub(super) progress: ProgressFeed,
    pub(super) counters: ShardCounters,
    /// The proposed events that are not appended yet.
    pub(super) outbox: Vec<ShardEvent>,
    /// The actions to return for the current input.
    pub(super) actions: Vec<ShardAction>,
    /// When the next append may be requested after one that was not confirmed.
    pub(super) log_retry_at: Option<TimePoint>,
    pub(super) is_placement_due: bool,
    /// Whether the log dropped entries that no snapshot covers.
    pub(super) history_lost: bool,
    /// The batch groups that are not placed, since lost log entries may have recorded their runs.
    pub(super) held_groups: BTreeSet<TaskGroup>,
    /// When the owner became ready.
    pub(super) ready_since: TimePoint,
    last_input: TimePoint,
}

impl ShardScheduler {
    /// Creates the scheduler of a shard that was claimed under a term.
    ///
    /// Its first action appends the barrier. It schedules tasks once it has read the barrier back.
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
            desired: DesiredTasks::default(),
            vms: Arc::default(),
            workers: BTreeMap::new(),
            queue: TaskQueue::default(),
            usage: UsageEstimates::default(),
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
            is_placement_due: true,
            history_lost: false,
            held_groups: BTreeSet::new(),
            ready_since: now,
            last_input: now,
        }
    }

    /// Returns the owner's stage.
    pub fn stage(&self) -> OwnerStage {
        self.stage
    }

    /// Returns the state of the shard's tasks.
    pub fn state(&self) -> &ShardState {
        &self.state
    }

    /// Handles an input and returns the actions to perform.
    pub fn handle(&mut self, now: TimePoint, input: ShardInput) -> Vec<ShardAction> {
        self.detect_pause(now);
        self.handle_input(now, input);
        if self.stage != OwnerStage::Superseded {
            self.advance(now);
        }
        self.flush();
        std::mem::take(&mut self.actions)
    }

    fn handle_input(&mut self, now: TimePoint, input: ShardInput) {
        match input {
            ShardInput::Config(config) => {
                let changed = self.desired.update(&config, &self.map, self.shard);
                self.refresh_groups(&changed);
                self.refresh_drains();
                self.refresh_quotas();
                self.endpoints.mark_changed();
            }
            ShardInput::Vms(vms) => self.update_vms(now, vms),
            ShardInput::Restored(snapshot) => {
                self.state = ShardState::from_snapshot(snapshot);
                self.history_lost = false;
            }
            ShardInput::Read { offset, batch } => self.apply_batch(now, offset, &batch),
            ShardInput::EntriesLost => self.handle_lost_entries(),
            ShardInput::AppendFailed(events) => self.handle_append_failure(now, &events),
            ShardInput::Seized { worker, outcome } => self.handle_seizure(now, &worker, outcome),
            ShardInput::Exchanged {
                worker,
                sequence,
                outcome,
            } => self.handle_exchange(now, &worker, sequence, outcome),
            ShardInput::PublishFailed => self.endpoints.republish_all(),
            ShardInput::ReportFailed => self.progress.report_all_again(),
            ShardInput::MoveFailed(task) => self.send_move(&task),
            ShardInput::Resolve { task, rerun } => self.resolve(&task, rerun),
            ShardInput::Tick => self.is_placement_due = true,
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

    fn apply_batch(&mut self, now: TimePoint, offset: LogOffset, batch: &LogBatch<ShardEvent>) {
        let changes = self.state.apply(offset, batch, self.settings.rules);
        if self.settings.rules.check_term && self.state.term() > self.term {
            self.supersede();
            return;
        }
        let own = batch.term == self.term;
        if own && changes.contains(&StateChange::Opened) {
            self.activate(now);
        }
        if self.stage == OwnerStage::Replaying {
            return;
        }
        for change in changes {
            self.handle_change(now, change);
        }
        if own {
            self.clear_proposals(&batch.events);
        }
    }

    /// Handles that the log dropped entries before they were read.
    ///
    /// A ready owner can't know which events it missed, so it gives up the shard. The next owner
    /// replays the stream.
    fn handle_lost_entries(&mut self) {
        match self.stage {
            OwnerStage::Replaying => self.history_lost = true,
            OwnerStage::Ready | OwnerStage::Suspended => self.supersede(),
            OwnerStage::Superseded => {}
        }
    }

    /// Makes the owner ready, after its barrier was read back and no higher term precedes it.
    fn activate(&mut self, now: TimePoint) {
        let replayed = self.stage == OwnerStage::Replaying;
        self.stage = OwnerStage::Ready;
        if !replayed {
            return;
        }
        self.ready_since = now;
        self.hold_groups_with_lost_history();
        self.inherit_placements(now);
        self.update_vms(now, Arc::clone(&self.vms));
        self.endpoints.mark_changed();
        let groups: BTreeSet<_> = self
            .desired
            .groups()
            .map(|(group, _)| group.clone())
            .collect();
        self.refresh_groups(&groups);
        let moved: Vec<_> = self.state.tasks().map(|(task, _)| task.clone()).collect();
        for task in moved {
            self.progress.mark_changed(&TaskGroup::of(&task));
            self.send_move(&task);
        }
    }

    /// Excludes all batch groups from placement if lost log entries may have recorded their runs.
    ///
    /// Otherwise, a task without a log entry would be placed as if it had never run.
    fn hold_groups_with_lost_history(&mut self) {
        if !self.history_lost {
            return;
        }
        let batch = self
            .desired
            .groups()
            .filter(|(_, desired)| desired.is_batch());
        self.held_groups = batch.map(|(group, _)| group.clone()).collect();
    }

    /// Stops scheduling for good, since a newer owner may have claimed the shard.
    pub(super) fn supersede(&mut self) {
        if self.stage != OwnerStage::Superseded {
            self.stage = OwnerStage::Superseded;
            self.outbox.clear();
            self.actions.clear();
            self.actions.push(ShardAction::Superseded);
        }
    }

    fn update_vms(&mut self, now: TimePoint, vms: Arc<VmTable>) {
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
            worker.update_listing(now, self.vms.vm(id));
        }
        self.refresh_drains();
        self.refresh_quotas();
        self.is_placement_due = true;
    }

    fn refresh_drains(&mut self) {
        for worker in self.workers.values_mut() {
            let vm = worker.vm.as_ref();
            worker.is_drained = vm.is_some_and(|vm| self.desired.is_drained(vm));
        }
        self.is_placement_due = true;
    }

    fn handle_append_failure(&mut self, now: TimePoint, events: &[ShardEvent]) {
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

    /// Makes all decisions and calls that are due after an input.
    fn advance(&mut self, now: TimePoint) {
        let log_waits = self.log_retry_at.is_some_and(|at| now < at);
        if !log_waits {
            self.log_retry_at = None;
        }
        let has_config = self.desired.applied() >= self.state.config_applied();
        if self.stage == OwnerStage::Ready && has_config {
            self.end_attempts_on_dead_workers(now);
            self.stop_obsolete_and_drained(now);
            self.propose_ends();
            if !log_waits {
                self.propose_unlogged();
                self.propose_cancels();
                self.place_waiting(now);
                self.move_blocked(now);
            }
            self.publish_endpoints(now);
            self.report_progress(now);
        }
        if matches!(self.stage, OwnerStage::Ready | OwnerStage::Suspended) {
            self.call_workers(now);
        }
    }

    fn flush(&mut self) {
        let is_delayed = self.log_retry_at.is_some() && self.stage != OwnerStage::Superseded;
        if !self.outbox.is_empty() && !is_delayed {
            let events = std::mem::take(&mut self.outbox);
            self.actions.insert(0, ShardAction::Append(events));
        }
    }

    /// Returns the specification of a task, unless no record asks for the task.
    pub(super) fn spec(&self, task: &TaskId) -> Option<Arc<TaskSpec>> {
        let desired = self.desired.group(&TaskGroup::of(task))?;
        (task.index < desired.count).then(|| Arc::new(desired.spec(task.index)))
    }

    /// Returns how long after a VM left the list no task can run on it any more.
    ///
    /// By then, its last lease has expired, whoever renewed it.
    pub(super) fn death_timeout(&self) -> Duration {
        self.settings.list_lag + self.settings.lease + self.settings.drift_margin
    }
}
