//! The lifecycle of attempts, from placement to end, as the log and the workers report it.

use std::sync::Arc;

use geraniumshed_model::prelude::{
    AttemptNumber, AttemptPhase, EndedAttempt, EndedReport, ResourceSize, ShardEvent, TaskId,
    TaskOutcome, TimePoint, TimeSpan, VmId,
};

use super::desired::TaskGroup;
use super::scheduler::ShardScheduler;
use super::shard_state::StateChange;
use super::task_entry::is_replica;
use super::worker_entry::{AttemptKey, AttemptStage, StopReason, UnloggedPlacement, WorkerAttempt};

impl ShardScheduler {
    /// Creates the attempts that earlier owners placed on the shard's workers, from the log.
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

    /// Handles a change of the state by an event that was read from the log.
    pub(super) fn handle_change(&mut self, now: TimePoint, change: StateChange) {
        match change {
            StateChange::Opened => {}
            StateChange::Placed(task, attempt) => self.handle_placed(now, &task, attempt),
            StateChange::NotPlaced(task, attempt, worker) => {
                self.drop_placement(&task, attempt, &worker);
            }
            StateChange::Ended(task, attempt, worker) => {
                self.handle_logged_end(&task, attempt, &worker);
            }
            StateChange::Unknown(task)
            | StateChange::Resolved(task)
            | StateChange::MovedIn(task) => {
                self.queue.remove_proposal(&task);
                self.refresh_task(&task);
                self.progress.mark_changed(&TaskGroup::of(&task));
            }
            StateChange::MovedOut(task) => {
                self.queue.remove_proposal(&task);
                self.refresh_task(&task);
                self.send_move(&task);
            }
            StateChange::Cancelled(job, generation) => {
                let group = TaskGroup {
                    record: job,
                    generation,
                };
                self.progress.mark_changed(&group);
                self.refresh_groups(&[group].into());
            }
        }
    }

    fn handle_placed(&mut self, now: TimePoint, task: &TaskId, attempt: AttemptNumber) {
        self.queue.remove_proposal(task);
        let entry = self.state.task(task);
        let Some(placement) = entry.and_then(|entry| entry.placement(attempt)).cloned() else {
            return;
        };
        let spec = self.spec(task);
        let worker = self.workers.entry(placement.worker).or_default();
        let rebooted = worker.is_seized() && worker.boot != Some(placement.boot);
        let key = (task.clone(), attempt);
        let size = spec.as_ref().map_or_else(ResourceSize::default, |s| s.size);
        // The attempt was dropped when its append seemed to fail, so its room may be used since.
        let crowded = !worker.attempts.contains_key(&key) && !worker.has_room(&size);
        let worker_attempt = worker.attempts.entry(key).or_insert_with(|| {
            let stage = AttemptStage::Proposed;
            WorkerAttempt::new(stage, size, spec, placement.boot, now)
        });
        if worker_attempt.stage == AttemptStage::Proposed {
            worker_attempt.stage = AttemptStage::Placed { sent: false };
        }
        worker_attempt.unlogged = None;
        let unsent = worker_attempt.stage == (AttemptStage::Placed { sent: false });
        let rebooted = rebooted && self.settings.rules.check_boot;
        if unsent && (worker_attempt.stop.is_some() || rebooted || crowded) {
            let key = (task.clone(), attempt);
            worker_attempt.end(
                &key,
                not_started("the attempt was given up before its start was sent"),
            );
        }
        self.refresh_task(task);
    }

    /// Handles that the log did not confirm a placement.
    ///
    /// A replica starts nevertheless, since a surplus replica violates no guarantee, and its
    /// placement is proposed again.
    pub(super) fn fail_placement(&mut self, task: &TaskId, attempt: AttemptNumber, worker: &VmId) {
        let key = (task.clone(), attempt);
        let entry = self.workers.get_mut(worker);
        match entry.and_then(|entry| entry.attempts.get_mut(&key)) {
            Some(worker_attempt) if is_replica(task) && worker_attempt.is_live() => {
                worker_attempt.unlogged = Some(UnloggedPlacement::Waiting);
            }
            _ => self.drop_placement(task, attempt, worker),
        }
    }

    /// Proposes the unconfirmed placements of replicas again.
    pub(super) fn propose_unlogged(&mut self) {
        for (id, worker) in &mut self.workers {
            for ((task, attempt), worker_attempt) in &mut worker.attempts {
                if worker_attempt.unlogged != Some(UnloggedPlacement::Waiting) {
                    continue;
                }
                worker_attempt.unlogged = Some(UnloggedPlacement::Proposed);
                self.outbox.push(ShardEvent::Placed {
                    task: task.clone(),
                    attempt: *attempt,
                    worker: id.clone(),
                    boot: worker_attempt.boot,
                });
            }
        }
    }

    /// Removes the proposals of events that were read back, whether or not they took effect.
    pub(super) fn clear_proposals(&mut self, events: &[ShardEvent]) {
        for event in events {
            match event {
                ShardEvent::Ended { task, attempt, .. } => self.handle_unplaced_end(task, *attempt),
                ShardEvent::Placed { task, .. }
                | ShardEvent::Unknown { task, .. }
                | ShardEvent::MovedOut { task, .. } => {
                    self.queue.remove_proposal(task);
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

    /// Marks an attempt's end as logged, unless the log still shows its placement.
    ///
    /// The end of an attempt whose placement never took effect causes no state change, so it is
    /// handled here.
    fn handle_unplaced_end(&mut self, task: &TaskId, attempt: AttemptNumber) {
        let key = (task.clone(), attempt);
        let entry = self.state.task(task);
        if entry.is_some_and(|entry| entry.placement(attempt).is_some()) {
            return;
        }
        let workers = self.workers.iter();
        let mut holders = workers.filter(|(_, worker)| {
            let worker_attempt = worker.attempts.get(&key);
            worker_attempt.is_some_and(|worker_attempt| {
                matches!(worker_attempt.stage, AttemptStage::Ended(_))
            })
        });
        if let Some(id) = holders.next().map(|(id, _)| id.clone()) {
            self.handle_logged_end(task, attempt, &id);
        } else {
            self.queue.remove_proposal(task);
            self.refresh_task(task);
        }
    }

    /// Drops a placement that did not take effect.
    ///
    /// Its room is freed at once if it was only proposed; otherwise, the attempt is stopped.
    pub(super) fn drop_placement(&mut self, task: &TaskId, attempt: AttemptNumber, worker: &VmId) {
        self.queue.remove_proposal(task);
        let key = (task.clone(), attempt);
        if let Some(entry) = self.workers.get_mut(worker) {
            match entry.attempts.get_mut(&key) {
                Some(worker_attempt) if worker_attempt.stage == AttemptStage::Proposed => {
                    entry.attempts.remove(&key);
                }
                Some(worker_attempt) => {
                    worker_attempt.unlogged = None;
                    worker_attempt.stop = Some(StopReason::Orphaned);
                }
                None => {}
            }
        }
        self.refresh_task(task);
    }

    fn handle_logged_end(&mut self, task: &TaskId, attempt: AttemptNumber, worker: &VmId) {
        self.queue.remove_proposal(task);
        let key = (task.clone(), attempt);
        if let Some(entry) = self.workers.get_mut(worker) {
            let boot = entry.boot;
            if let Some(worker_attempt) = entry.attempts.get_mut(&key)
                && !worker_attempt.is_confirmed()
            {
                let reported = matches!(&worker_attempt.stage, AttemptStage::Ended(_));
                worker_attempt.stage = AttemptStage::EndLogged;
                if !reported || boot != Some(worker_attempt.boot) {
                    entry.attempts.remove(&key);
                }
            }
        }
        self.refresh_task(task);
        self.progress.mark_changed(&TaskGroup::of(task));
        self.is_placement_due = true;
    }

    /// Proposes the ends of attempts that workers reported.
    pub(super) fn propose_ends(&mut self) {
        let mut events = Vec::new();
        for worker in self.workers.values_mut() {
            for ((task, attempt), worker_attempt) in &mut worker.attempts {
                let AttemptStage::Ended(report) = &worker_attempt.stage else {
                    continue;
                };
                if worker_attempt.is_end_proposed {
                    continue;
                }
                worker_attempt.is_end_proposed = true;
                events.push((task.clone(), *attempt, report.ended.outcome.clone()));
            }
        }
        for (task, attempt, outcome) in events {
            self.propose_end(task, attempt, outcome);
        }
    }

    fn propose_end(&mut self, task: TaskId, attempt: AttemptNumber, outcome: TaskOutcome) {
        let unsaved = matches!(outcome, TaskOutcome::Stopped { checkpoint: None });
        let unknown = unsaved && !self.is_rerun_harmless(&task);
        self.queue.add_proposal(&task);
        self.outbox.push(ShardEvent::Ended {
            task: task.clone(),
            attempt,
            outcome,
        });
        if unknown {
            self.outbox.push(ShardEvent::Unknown { task, attempt });
        }
    }

    /// Marks an end to be proposed again, since the log did not confirm it.
    pub(super) fn repropose_end(&mut self, task: &TaskId, attempt: AttemptNumber) {
        self.queue.remove_proposal(task);
        let key = (task.clone(), attempt);
        for worker in self.workers.values_mut() {
            if let Some(worker_attempt) = worker.attempts.get_mut(&key) {
                worker_attempt.is_end_proposed = false;
            }
        }
    }

    /// Returns whether a task may repeat work that it did after its last checkpoint.
    pub(super) fn is_rerun_harmless(&self, task: &TaskId) -> bool {
        let desired = self.desired.group(&TaskGroup::of(task));
        is_replica(task) || desired.is_none_or(|desired| desired.template.idempotent)
    }

    /// Ends the attempts on workers that certainly run no task any more.
    pub(super) fn end_attempts_on_dead_workers(&mut self, now: TimePoint) {
        let wait = self.death_timeout();
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
                self.end_lost_attempt(&id, &key);
            }
            self.endpoints.mark_changed();
        }
    }

    /// Ends an attempt that certainly does not run; whether it started decides the outcome.
    pub(super) fn end_lost_attempt(&mut self, worker: &VmId, key: &AttemptKey) {
        let Some(entry) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(worker_attempt) = entry.attempts.get_mut(key) else {
            return;
        };
        match &worker_attempt.stage {
            AttemptStage::Placed { sent: false } => {
                worker_attempt.end(
                    key,
                    not_started("the worker was lost before the start was sent"),
                );
            }
            AttemptStage::Placed { sent: true }
            | AttemptStage::Inherited
            | AttemptStage::Confirmed(_) => {
                worker_attempt.end(key, TaskOutcome::Stopped { checkpoint: None });
            }
            AttemptStage::Proposed | AttemptStage::Ended(_) => {}
            AttemptStage::EndLogged => {
                entry.attempts.remove(key);
            }
        }
    }

    /// Marks attempts to stop that are no longer desired or whose worker is being drained.
    pub(super) fn stop_obsolete_and_drained(&mut self, now: TimePoint) {
        let mut stops = Vec::new();
        for (id, worker) in &self.workers {
            for (key, worker_attempt) in &worker.attempts {
                if worker_attempt.stop.is_some() || !worker_attempt.is_live() {
                    continue;
                }
                let limit = self.settings.lease;
                let unreachable = worker.is_unreachable(now, self.ready_since, limit);
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
        let desired = self.desired.group(&TaskGroup::of(task));
        let is_obsolete = match desired {
            None if is_replica(task) => self.is_withdrawal_certain(now),
            None => self.desired.is_past_job(&TaskGroup::of(task)),
            Some(desired) => {
                let cancelled = self.state.is_cancelled(&task.record, task.generation);
                task.index >= desired.count || desired.cancelled || cancelled
            }
        };
        if is_obsolete {
            return Some(StopReason::Obsolete);
        }
        if self.has_newer_running_attempt(task, *attempt) {
            return Some(StopReason::Obsolete);
        }
        leaving.then_some(StopReason::Drained)
    }

    /// Returns whether a service without a record was withdrawn, rather than being unknown so far.
    ///
    /// A new owner may have read less of the `config` stream than the previous owner, so it waits
    /// for the longest lag of that stream.
    fn is_withdrawal_certain(&self, now: TimePoint) -> bool {
        now.since(self.ready_since) >= self.settings.config_lag
    }

    /// Returns whether a later attempt of a replica is running and not about to stop.
    pub(super) fn has_newer_running_attempt(&self, task: &TaskId, attempt: AttemptNumber) -> bool {
        if !is_replica(task) {
            return false;
        }
        let placements = self.state.task(task).map(|entry| entry.placements.iter());
        placements.into_iter().flatten().any(|placement| {
            let worker = self.workers.get(&placement.worker);
            let key = (task.clone(), placement.attempt);
            let worker_attempt = worker.and_then(|worker| worker.attempts.get(&key));
            let runs = worker_attempt.is_some_and(|worker_attempt| {
                worker_attempt.stage == AttemptStage::Confirmed(AttemptPhase::Running)
                    && worker_attempt.stop.is_none()
            });
            placement.attempt > attempt && runs
        })
    }

    /// Marks an attempt to stop; it ends at once if it is placed and its start was not sent.
    pub(super) fn stop_attempt(
        &mut self,
        now: TimePoint,
        worker: &VmId,
        key: &AttemptKey,
        reason: StopReason,
    ) {
        let entry = self.workers.get_mut(worker);
        let Some(worker_attempt) = entry.and_then(|entry| entry.attempts.get_mut(key)) else {
            return;
        };
        worker_attempt.stop = Some(reason);
        worker_attempt.stop_since = now;
        if worker_attempt.stage == (AttemptStage::Placed { sent: false }) {
            worker_attempt.end(
                key,
                not_started("the attempt was stopped before its start was sent"),
            );
        }
        self.refresh_task(&key.0);
    }

    /// Updates the specifications of a group's attempts from its record.
    pub(super) fn refresh_specs(&mut self, group: &TaskGroup) {
        let Some(desired) = self.desired.group(group) else {
            return;
        };
        for worker in self.workers.values_mut() {
            for ((task, _), worker_attempt) in &mut worker.attempts {
                if TaskGroup::of(task) == *group {
                    worker_attempt.spec = Some(Arc::new(desired.spec(task.index)));
                }
            }
        }
    }
}

impl WorkerAttempt {
    /// Sets that the attempt ended, without a report of its worker.
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
