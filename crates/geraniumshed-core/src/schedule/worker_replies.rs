//! The handling of workers' replies to seizures and exchanges.

use geraniumshed_model::prelude::{
    AttemptNumber, AttemptPhase, CommandResult, EndedReport, ExchangeReply, ResourceSize,
    RunningAttempt, SeizeReply, ShardEvent, TaskId, TaskOutcome, TimePoint, VmId,
};

use super::lifecycle::not_started;
use super::message::WorkerFault;
use super::scheduler::ShardScheduler;
use super::task_entry::{TaskEntry, TaskPhase, is_replica};
use super::worker_entry::{
    AttemptKey, AttemptStage, SentCommand, StopReason, WorkerAttempt, WorkerCall, WorkerEntry,
};

impl ShardScheduler {
    /// Handles the reply to a seizure.
    pub(super) fn handle_seizure(
        &mut self,
        now: TimePoint,
        id: &VmId,
        outcome: Result<SeizeReply, WorkerFault>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.call != Some(WorkerCall::Seize) {
            return;
        }
        worker.call = None;
        let reply = match outcome {
            Ok(reply) => reply,
            Err(fault) => {
                self.handle_worker_fault(now, id, fault);
                return;
            }
        };
        worker.size = reply.size;
        worker.last_reply = Some(now);
        worker.exchange_due = now;
        worker.inventory_stale = false;
        worker.boot = Some(reply.boot);
        self.reconcile_inventory(id, &reply);
        for running in &reply.running {
            self.handle_running(now, id, running);
        }
        for ended in &reply.ended {
            self.handle_end_report(now, id, ended);
        }
        self.is_placement_due = true;
    }

    /// Ends the attempts that the owner expects on a worker and that can't run any more, since the
    /// inventory doesn't show them.
    fn reconcile_inventory(&mut self, id: &VmId, reply: &SeizeReply) {
        let check_boot = self.settings.rules.check_boot;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut lost = Vec::new();
        for (key, worker_attempt) in &mut worker.attempts {
            let shown = reply
                .running
                .iter()
                .any(|r| is_same(key, &r.task, r.attempt))
                || reply
                    .ended
                    .iter()
                    .any(|e| is_same(key, &e.ended.task, e.ended.attempt));
            if shown {
                continue;
            }
            let same_boot = worker_attempt.boot == reply.boot || !check_boot;
            match (&worker_attempt.stage, same_boot) {
                // The worker refuses a start by the earlier owner from now on.
                (AttemptStage::Inherited, true) => {
                    worker_attempt.end(key, not_started("the worker never had the start"));
                }
                // The start is sent again, which has no effect if the worker has it by then.
                (AttemptStage::Placed { .. } | AttemptStage::Proposed, true) => {}
                (_, _) => lost.push(key.clone()),
            }
        }
        for key in lost {
            self.end_lost_attempt(id, &key);
        }
    }

    /// Handles the reply to an exchange.
    pub(super) fn handle_exchange(
        &mut self,
        now: TimePoint,
        id: &VmId,
        sequence: u64,
        outcome: Result<ExchangeReply, WorkerFault>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let sent = match worker.call.take() {
            Some(WorkerCall::Exchange(number, sent)) if number == sequence => sent,
            other => {
                worker.call = other;
                return;
            }
        };
        let reply = match outcome {
            Ok(reply) => reply,
            Err(fault) => {
                self.handle_exchange_fault(now, id, &sent, fault);
                return;
            }
        };
        worker.last_reply = Some(now);
        worker.retry_at = now;
        for (command, result) in sent.iter().zip(&reply.results) {
            self.handle_command_result(now, id, command, result);
        }
        for running in &reply.changed {
            self.handle_running(now, id, running);
        }
        for ended in &reply.ended {
            self.handle_end_report(now, id, ended);
        }
        if let Some(usage) = &reply.usage {
            self.handle_usage_report(now, id, usage);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.schedule_exchange(now, &self.settings);
        }
    }

    fn handle_exchange_fault(
        &mut self,
        now: TimePoint,
        id: &VmId,
        sent: &[SentCommand],
        fault: WorkerFault,
    ) {
        if fault != WorkerFault::AnswerLost
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.mark_unsent(sent);
        }
        self.handle_worker_fault(now, id, fault);
    }

    fn handle_worker_fault(&mut self, now: TimePoint, id: &VmId, fault: WorkerFault) {
        let retry = self.settings.call_retry;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.retry_at = now + retry;
        match fault {
            WorkerFault::NoEffect => {}
            WorkerFault::AnswerLost => worker.inventory_stale = true,
            WorkerFault::WrongBoot(_) => {
                worker.inventory_stale = true;
                worker.retry_at = now;
            }
            WorkerFault::StaleTerm(held) if held > self.term => self.supersede(),
            WorkerFault::StaleTerm(_) => worker.boot = None,
        }
    }

    fn handle_command_result(
        &mut self,
        now: TimePoint,
        id: &VmId,
        command: &SentCommand,
        result: &CommandResult,
    ) {
        let expected = match command {
            SentCommand::Start { key, .. } => self.expect_end(now, key),
            SentCommand::Stop(_) | SentCommand::Throttle(..) | SentCommand::Forget(_) => None,
        };
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match (command, result) {
            (SentCommand::Start { key, .. }, CommandResult::Done) => {
                if let Some(worker_attempt) = worker.attempts.get_mut(key)
                    && matches!(worker_attempt.stage, AttemptStage::Placed { .. })
                {
                    worker_attempt.stage = AttemptStage::Confirmed(AttemptPhase::Starting);
                    worker_attempt.end_expected = expected;
                    worker.attempts_changed = now;
                    self.counters.starts += 1;
                }
            }
            (SentCommand::Start { key, .. }, CommandResult::Refused { reason }) => {
                if let Some(worker_attempt) = worker.attempts.get_mut(key)
                    && matches!(worker_attempt.stage, AttemptStage::Placed { .. })
                {
                    worker_attempt.end(key, not_started(reason));
                }
                self.add_attempt_failure(now, id, &key.0);
            }
            (SentCommand::Stop(key), CommandResult::Done) => {
                if let Some(worker_attempt) = worker.attempts.get_mut(key) {
                    worker_attempt.is_stop_confirmed = true;
                }
            }
            (SentCommand::Throttle(key, percent), CommandResult::Done) => {
                if let Some(worker_attempt) = worker.attempts.get_mut(key) {
                    worker_attempt.confirmed_throttle = *percent;
                }
            }
            (SentCommand::Forget(key), _) => {
                worker.attempts.remove(key);
            }
            // The worker reports the end of the attempt, so the command is not needed any more.
            (SentCommand::Stop(_) | SentCommand::Throttle(..), CommandResult::Refused { .. }) => {}
        }
    }

    /// Handles a worker's report of a running attempt.
    fn handle_running(&mut self, now: TimePoint, id: &VmId, running: &RunningAttempt) {
        let key = (running.task.clone(), running.attempt);
        let expected = self.expect_end(now, &key);
        if self
            .workers
            .get(id)
            .is_some_and(|w| !w.attempts.contains_key(&key))
        {
            self.adopt(now, id, running);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(worker_attempt) = worker.attempts.get_mut(&key) else {
            return;
        };
        if !worker_attempt.is_live() {
            // The owner ended the attempt while its worker seemed to be gone.
            worker_attempt.stop = Some(StopReason::Orphaned);
            worker_attempt.stop_since = now;
        }
        let started = !worker_attempt.is_confirmed();
        worker_attempt.observe(running);
        self.endpoints.mark_changed();
        if started {
            worker_attempt.end_expected = expected;
            worker.attempts_changed = now;
        }
        if running.phase == AttemptPhase::Stopping {
            worker_attempt.is_stop_confirmed = true;
        }
    }

    /// Adds an attempt that a worker runs and its owner did not expect there.
    ///
    /// If the log has lost its placement, the placement is proposed again. Otherwise, another
    /// attempt took its place in the log, and this one has to stop.
    fn adopt(&mut self, now: TimePoint, id: &VmId, running: &RunningAttempt) {
        let task = &running.task;
        let spec = self.spec(task);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(boot) = worker.boot else {
            return;
        };
        let entry = self.state.task(task);
        let is_missing = is_missing_in_log(entry, task, running.attempt);
        let stage = AttemptStage::Confirmed(running.phase);
        let mut worker_attempt = WorkerAttempt::new(stage, running.size, spec, boot, now);
        if is_missing && !self.queue.has_proposal(task) {
            self.queue.add_proposal(task);
            self.outbox.push(ShardEvent::Placed {
                task: task.clone(),
                attempt: running.attempt,
                worker: id.clone(),
                boot,
            });
        } else {
            worker_attempt.stop = Some(StopReason::Orphaned);
            worker_attempt.stop_since = now;
        }
        worker
            .attempts
            .insert((task.clone(), running.attempt), worker_attempt);
    }

    /// Handles a worker's report of an ended attempt.
    fn handle_end_report(&mut self, now: TimePoint, id: &VmId, report: &EndedReport) {
        let ended = &report.ended;
        let key = (ended.task.clone(), ended.attempt);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let boot = worker.boot.unwrap_or_default();
        let entry = self.state.task(&ended.task);
        let mut placed = entry.is_some_and(|entry| entry.placement(ended.attempt).is_some());
        if is_missing_in_log(entry, &ended.task, ended.attempt)
            && !worker.attempts.contains_key(&key)
        {
            placed = true;
            self.outbox.push(ShardEvent::Placed {
                task: ended.task.clone(),
                attempt: ended.attempt,
                worker: id.clone(),
                boot,
            });
        }
        let fresh = if let Some(worker_attempt) = worker.attempts.get_mut(&key) {
            let fresh = worker_attempt.is_live();
            if fresh && worker_attempt.stage != AttemptStage::Proposed {
                worker_attempt.stage = if placed || worker_attempt.unlogged.is_some() {
                    AttemptStage::Ended(report.clone())
                } else {
                    AttemptStage::EndLogged
                };
            }
            fresh
        } else {
            let stage = if placed {
                AttemptStage::Ended(report.clone())
            } else {
                AttemptStage::EndLogged
            };
            let worker_attempt =
                WorkerAttempt::new(stage, ResourceSize::default(), None, boot, now);
            worker.attempts.insert(key.clone(), worker_attempt);
            placed
        };
        if !fresh {
            return;
        }
        worker.attempts_changed = now;
        self.endpoints.mark_changed();
        self.learn_run_time(&key.0, report);
        if matches!(
            ended.outcome,
            TaskOutcome::NotStarted { .. } | TaskOutcome::Failed { .. }
        ) {
            self.add_attempt_failure(now, id, &key.0);
        } else {
            self.clear_worker_failures(id);
            if ended.outcome == TaskOutcome::Completed {
                self.failures.forget(&key.0);
            }
        }
        self.is_placement_due = true;
    }
}

impl WorkerEntry {
    /// Marks starts as not sent again, since the call certainly had no effect.
    fn mark_unsent(&mut self, sent: &[SentCommand]) {
        for command in sent {
            if let SentCommand::Start { key, repeat: false } = command
                && let Some(worker_attempt) = self.attempts.get_mut(key)
                && worker_attempt.stage == (AttemptStage::Placed { sent: true })
            {
                worker_attempt.stage = AttemptStage::Placed { sent: false };
            }
        }
    }
}

fn is_same(key: &AttemptKey, task: &TaskId, attempt: AttemptNumber) -> bool {
    key.0 == *task && key.1 == attempt
}

/// Returns whether the log lacks the placement of an attempt that must have been placed.
///
/// For a batch task, this requires that the log shows no other placement of the task.
fn is_missing_in_log(entry: Option<&TaskEntry>, task: &TaskId, attempt: AttemptNumber) -> bool {
    let Some(entry) = entry else {
        return true;
    };
    let open = entry.phase == TaskPhase::Open && entry.attempts < attempt;
    open && (is_replica(task) || entry.placements.is_empty())
}
