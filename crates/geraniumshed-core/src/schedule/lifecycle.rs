//! How attempts go from placement to end, by what the log and the workers say.

use std::sync::Arc;

use geraniumshed_model::prelude::{
    AttemptNumber, AttemptPhase, EndedAttempt, EndedReport, ResourceSize, ShardEvent, TaskId,
    TaskOutcome, TimePoint, TimeSpan, VmId,
};

use super::scheduler::ShardScheduler;
use super::shard_state::StateChange;
use super::task_entry::is_replica;
use super::wanted::TaskGroup;
use super::worker_entry::{AttemptKey, AttemptStage, StopReason, UnloggedPlacement, WorkerAttempt};

impl ShardScheduler {
    /// Creates the attempts that the log shows on the shard's workers under earlier owners.
    pub(super) fn inherit_placements(&mut self, now: TimePoint) {
        let placements: Vec<_> = self
            .state
            .tasks()
            .flat_map(|(task, entry)| {
                let placements = entry.placements.iter();
                placements.map(|placement| (task.clone(), placement.clone()))
            })
            .collect();
        for (task, placement) in placements {
            let spec = self.spec(&task);
            let size = spec.as_ref().map_or_else(ResourceSize::default, |s| s.size);
            let stage = AttemptStage::Inherited;
            let attempt = WorkerAttempt::new(stage, size, spec, placement.boot, now);
            let worker = self.workers.entry(placement.worker).or_default();
            worker.attempts.insert((task, placement.attempt), attempt);
        }
    }

    /// Takes in what an entry of the log changed.
    pub(super) fn take_change(&mut self, now: TimePoint, change: StateChange) {
        match change {
            StateChange::Opened => {}
            StateChange::Placed(task, attempt) => self.take_placed(now, &task, attempt),
            StateChange::NotPlaced(task, attempt, worker) => {
                self.drop_intent(&task, attempt, &worker);
            }
            StateChange::Ended(task, attempt, worker) => {
                self.take_ended(&task, attempt, &worker);
            }
            StateChange::Unknown(task)
            | StateChange::Resolved(task)
            | StateChange::MovedIn(task) => {
                self.queue.remove_intent(&task);
                self.refresh_task(&task);
                self.progress.touch(&TaskGroup::of(&task));
            }
            StateChange::MovedOut(task) => {
                self.queue.remove_intent(&task);
                self.refresh_task(&task);
                self.send_move(&task);
            }
            StateChange::Cancelled(job, generation) => {
                let group = TaskGroup {
                    record: job,
                    generation,
                };
                self.progress.touch(&group);
                self.refresh_groups(&[group].into());
            }
        }
    }

    fn take_placed(&mut self, now: TimePoint, task: &TaskId, attempt: AttemptNumber) {
        self.queue.remove_intent(task);
        let entry = self.state.task(task);
        let Some(placement) = entry.and_then(|entry| entry.placement(attempt)).cloned() else {
            return;
        };
        let spec = self.spec(task);
        let worker = self.workers.entry(placement.worker).or_default();
        let rebooted = worker.is_seized() && worker.boot != Some(placement.boot);
        let key = (task.clone(), attempt);
        let size = spec.as_ref().map_or_else(ResourceSize::default, |s| s.size);
        // The append seemed to have failed, so that the room may have been given away since.
        let crowded = !worker.attempts.contains_key(&key) && !worker.has_room(&size);
        let known = worker.attempts.entry(key).or_insert_with(|| {
            let stage = AttemptStage::Intended;
            WorkerAttempt::new(stage, size, spec, placement.boot, now)
        });
        if known.stage == AttemptStage::Intended {
            known.stage = AttemptStage::Placed { sent: false };
        }
        known.unlogged = None;
        let unsent = known.stage == (AttemptStage::Placed { sent: false });
        let rebooted = rebooted && self.settings.rules.check_boot;
        if unsent && (known.stop.is_some() || rebooted || crowded) {
            let key = (task.clone(), attempt);
            known.end(
                &key,
                not_started("the attempt was given up before its start was sent"),
            );
        }
        self.refresh_task(task);
    }

    /// Takes in that the log did not confirm a placement.
    ///
    /// A replica starts without the log, since one replica too many breaks no promise; its
    /// placement is given to the log again.
    pub(super) fn fail_placement(&mut self, task: &TaskId, attempt: AttemptNumber, worker: &VmId) {
        let key = (task.clone(), attempt);
        let entry = self.workers.get_mut(worker);
        match entry.and_then(|entry| entry.attempts.get_mut(&key)) {
            Some(known) if is_replica(task) && known.is_live() => {
                known.unlogged = Some(UnloggedPlacement::Waiting);
            }
            _ => self.drop_intent(task, attempt, worker),
        }
    }

    /// Gives the placements of replicas that started without the log to the log again.
    pub(super) fn propose_unlogged(&mut self) {
        for (id, worker) in &mut self.workers {
            for ((task, attempt), known) in &mut worker.attempts {
                if known.unlogged != Some(UnloggedPlacement::Waiting) {
                    continue;
                }
                known.unlogged = Some(UnloggedPlacement::Proposed);
                self.outbox.push(ShardEvent::Placed {
                    task: task.clone(),
                    attempt: *attempt,
                    worker: id.clone(),
                    boot: known.boot,
                });
            }
        }
    }

    /// Takes note that the log has settled events of this owner, whether or not they count.
    pub(super) fn settle_events(&mut self, events: &[ShardEvent]) {
        for event in events {
            match event {
                ShardEvent::Ended { task, attempt, .. } => self.settle_end(task, *attempt),
                ShardEvent::Placed { task, .. }
                | ShardEvent::Unknown { task, .. }
                | ShardEvent::MovedOut { task, .. } => {
                    self.queue.remove_intent(task);
                    self.refresh_task(task);
                }
                ShardEvent::Opened
                | ShardEvent::Resolved { .. }
                | ShardEvent::Cancelled { .. }
                | ShardEvent::MovedIn { .. }
                | ShardEvent::Snapshot(_) => {}
            }
        }
    }

    /// Lets go of an attempt whose end the log has, though it never had its placement.
    fn settle_end(&mut self, task: &TaskId, attempt: AttemptNumber) {
        let key = (task.clone(), attempt);
        let entry = self.state.task(task);
        if entry.is_some_and(|entry| entry.placement(attempt).is_some()) {
            return;
        }
        let workers = self.workers.iter();
        let mut holders = workers.filter(|(_, worker)| {
            let known = worker.attempts.get(&key);
            known.is_some_and(|known| matches!(known.stage, AttemptStage::Ended(_)))
        });
        if let Some(id) = holders.next().map(|(id, _)| id.clone()) {
            self.take_ended(task, attempt, &id);
        } else {
            self.queue.remove_intent(task);
            self.refresh_task(task);
        }
    }

    /// Drops a placement that doesn't count, and gives its room back.
    pub(super) fn drop_intent(&mut self, task: &TaskId, attempt: AttemptNumber, worker: &VmId) {
        self.queue.remove_intent(task);
        let key = (task.clone(), attempt);
        if let Some(entry) = self.workers.get_mut(worker) {
            match entry.attempts.get_mut(&key) {
                Some(known) if known.stage == AttemptStage::Intended => {
                    entry.attempts.remove(&key);
                }
                Some(known) => {
                    known.unlogged = None;
                    known.stop = Some(StopReason::Orphaned);
                }
                None => {}
            }
        }
        self.refresh_task(task);
    }

    fn take_ended(&mut self, task: &TaskId, attempt: AttemptNumber, worker: &VmId) {
        self.queue.remove_intent(task);
        let key = (task.clone(), attempt);
        if let Some(entry) = self.workers.get_mut(worker) {
            let boot = entry.boot;
            if let Some(known) = entry.attempts.get_mut(&key)
                && !known.is_held()
            {
                let reported = matches!(&known.stage, AttemptStage::Ended(_));
                known.stage = AttemptStage::Logged;
                if !reported || boot != Some(known.boot) {
                    entry.attempts.remove(&key);
                }
            }
        }
        self.refresh_task(task);
        self.progress.touch(&TaskGroup::of(task));
        self.plan_due = true;
    }

    /// Gives the ends that workers reported to the log.
    pub(super) fn propose_ends(&mut self) {
        let mut events = Vec::new();
        for worker in self.workers.values_mut() {
            for ((task, attempt), known) in &mut worker.attempts {
                let AttemptStage::Ended(report) = &known.stage else {
                    continue;
                };
                if known.end_proposed {
                    continue;
                }
                known.end_proposed = true;
                events.push((task.clone(), *attempt, report.ended.outcome.clone()));
            }
        }
        for (task, attempt, outcome) in events {
            self.propose_end(task, attempt, outcome);
        }
    }

    fn propose_end(&mut self, task: TaskId, attempt: AttemptNumber, outcome: TaskOutcome) {
        let unsaved = matches!(outcome, TaskOutcome::Stopped { checkpoint: None });
        let unknown = unsaved && !self.may_repeat(&task);
        self.queue.add_intent(&task);
        self.outbox.push(ShardEvent::Ended {
            task: task.clone(),
            attempt,
            outcome,
        });
        if unknown {
            self.outbox.push(ShardEvent::Unknown { task, attempt });
        }
    }

    /// Gives an end to the log once more, since the log did not confirm it.
    pub(super) fn repropose_end(&mut self, task: &TaskId, attempt: AttemptNumber) {
        self.queue.remove_intent(task);
        let key = (task.clone(), attempt);
        for worker in self.workers.values_mut() {
            if let Some(known) = worker.attempts.get_mut(&key) {
                known.end_proposed = false;
            }
        }
    }

    /// Tells whether a second run of what a task did without a checkpoint does no harm.
    pub(super) fn may_repeat(&self, task: &TaskId) -> bool {
        let wanted = self.wanted.group(&TaskGroup::of(task));
        is_replica(task) || wanted.is_none_or(|wanted| wanted.template.idempotent)
    }

    /// Ends the attempts on workers that certainly run nothing any more.
    pub(super) fn settle_lost(&mut self, now: TimePoint) {
        let wait = self.death_wait();
        let dead = self.workers.iter().filter(|(_, worker)| {
            worker.is_dead(now, wait) && worker.attempts.values().any(WorkerAttempt::is_live)
        });
        let dead: Vec<_> = dead.map(|(id, _)| id.clone()).collect();
        for id in dead {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            worker.boot = None;
            let keys: Vec<_> = worker.attempts.keys().cloned().collect();
            for key in keys {
                self.lose_attempt(&id, &key);
            }
            self.endpoints.touch();
        }
    }

    /// Ends an attempt that certainly does not run, by what is known of its start.
    pub(super) fn lose_attempt(&mut self, worker: &VmId, key: &AttemptKey) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(known) = entry.attempts.get_mut(key) else {
            return;
        };
        match &known.stage {
            AttemptStage::Placed { sent: false } => {
                known.end(
                    key,
                    not_started("the worker was lost before the start was sent"),
                );
            }
            AttemptStage::Placed { sent: true }
            | AttemptStage::Inherited
            | AttemptStage::Held(_) => known.end(key, TaskOutcome::Stopped { checkpoint: None }),
            AttemptStage::Intended | AttemptStage::Ended(_) => {}
            AttemptStage::Logged => {
                entry.attempts.remove(key);
            }
        }
    }

    /// Asks attempts to stop that no record asks for or whose worker is emptied.
    pub(super) fn stop_unwanted(&mut self, now: TimePoint) {
        let mut stops = Vec::new();
        for (id, worker) in &self.workers {
            for (key, known) in &worker.attempts {
                if known.stop.is_some() || !known.is_live() {
                    continue;
                }
                let unreachable = worker.is_unreachable(now, self.settings.lease);
                let leaving = worker.is_leaving() || (unreachable && is_replica(&key.0));
                if let Some(reason) = self.stop_reason(now, leaving, key) {
                    stops.push((id.clone(), key.clone(), reason));
                }
            }
        }
        for (worker, key, reason) in stops {
            self.stop_attempt(now, &worker, &key, reason);
        }
    }

    fn stop_reason(&self, now: TimePoint, leaving: bool, key: &AttemptKey) -> Option<StopReason> {
        let (task, attempt) = key;
        let wanted = self.wanted.group(&TaskGroup::of(task));
        let unwanted = match wanted {
            None if is_replica(task) => self.knows_services(now),
            None => self.wanted.is_past_job(&TaskGroup::of(task)),
            Some(wanted) => {
                let cancelled = self.state.is_cancelled(&task.record, task.generation);
                task.index >= wanted.count || wanted.cancelled || cancelled
            }
        };
        if unwanted {
            return Some(StopReason::Unwanted);
        }
        if self.newer_runs(task, *attempt) {
            return Some(StopReason::Unwanted);
        }
        leaving.then_some(StopReason::Drained)
    }

    /// Tells whether a service without a record was withdrawn, and is not merely unknown yet.
    ///
    /// A new owner may know less of the `config` stream than the one before it did.
    fn knows_services(&self, now: TimePoint) -> bool {
        now.since(self.opened) >= self.settings.config_lag
    }

    /// Tells whether a later attempt of a replica takes requests.
    pub(super) fn newer_runs(&self, task: &TaskId, attempt: AttemptNumber) -> bool {
        if !is_replica(task) {
            return false;
        }
        let placements = self.state.task(task).map(|entry| entry.placements.iter());
        placements.into_iter().flatten().any(|placement| {
            let worker = self.workers.get(&placement.worker);
            let key = (task.clone(), placement.attempt);
            let known = worker.and_then(|worker| worker.attempts.get(&key));
            let runs = known.is_some_and(|known| {
                known.stage == AttemptStage::Held(AttemptPhase::Running) && known.stop.is_none()
            });
            placement.attempt > attempt && runs
        })
    }

    /// Asks an attempt to stop; one that was never sent to its worker ends at once.
    pub(super) fn stop_attempt(
        &mut self,
        now: TimePoint,
        worker: &VmId,
        key: &AttemptKey,
        reason: StopReason,
    ) {
        let entry = self.workers.get_mut(worker);
        let Some(known) = entry.and_then(|entry| entry.attempts.get_mut(key)) else {
            return;
        };
        known.stop = Some(reason);
        known.stop_since = now;
        if known.stage == (AttemptStage::Placed { sent: false }) {
            known.end(
                key,
                not_started("the attempt was stopped before its start was sent"),
            );
        }
        self.refresh_task(&key.0);
    }

    /// Takes in what the records now say of the attempts of a group.
    pub(super) fn refresh_specs(&mut self, group: &TaskGroup) {
        let Some(wanted) = self.wanted.group(group) else {
            return;
        };
        for worker in self.workers.values_mut() {
            for ((task, _), known) in &mut worker.attempts {
                if TaskGroup::of(task) == *group {
                    known.spec = Some(Arc::new(wanted.spec(task.index)));
                }
            }
        }
    }
}

impl WorkerAttempt {
    /// Takes in that the attempt ended, by proof other than its worker's report.
    pub(super) fn end(&mut self, key: &AttemptKey, outcome: TaskOutcome) {
        self.stage = AttemptStage::Ended(EndedReport {
            ended: EndedAttempt {
                task: key.0.clone(),
                attempt: key.1,
                outcome,
            },
            run_time: TimeSpan::default(),
        });
    }
}

/// Returns the outcome of an attempt that never started and never will.
pub(super) fn not_started(reason: &str) -> TaskOutcome {
    TaskOutcome::NotStarted {
        reason: reason.into(),
    }
}
