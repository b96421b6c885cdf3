//! What workers reply to seizures and exchanges.

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
    /// Takes in the reply to a seizure.
    pub(super) fn take_seizure(
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
                self.take_fault(now, id, fault);
                return;
            }
        };
        worker.size = reply.size;
        worker.answered = Some(now);
        worker.due = now;
        worker.inventory_stale = false;
        worker.boot = Some(reply.boot);
        self.settle_attempts(id, &reply);
        for running in &reply.running {
            self.take_running(now, id, running);
        }
        for ended in &reply.ended {
            self.take_report(now, id, ended);
        }
        self.plan_due = true;
    }

    /// Settles the attempts that the owner expects on a worker and the inventory does not show.
    fn settle_attempts(&mut self, id: &VmId, reply: &SeizeReply) {
        let check_boot = self.settings.rules.check_boot;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut lost = Vec::new();
        for (key, known) in &mut worker.attempts {
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
            let same_boot = known.boot == reply.boot || !check_boot;
            match (&known.stage, same_boot) {
                // The earlier owner's start is refused from now on.
                (AttemptStage::Inherited, true) => {
                    known.end(key, not_started("the worker never had the start"));
                }
                // The start is sent again; it changes nothing if it was taken meanwhile.
                (AttemptStage::Placed { .. } | AttemptStage::Intended, true) => {}
                (_, _) => lost.push(key.clone()),
            }
        }
        for key in lost {
            self.lose_attempt(id, &key);
        }
    }

    /// Takes in the reply to an exchange.
    pub(super) fn take_exchange(
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
                self.take_exchange_fault(now, id, &sent, fault);
                return;
            }
        };
        worker.answered = Some(now);
        worker.retry_at = now;
        for (command, result) in sent.iter().zip(&reply.results) {
            self.take_result(now, id, command, result);
        }
        for running in &reply.changed {
            self.take_running(now, id, running);
        }
        for ended in &reply.ended {
            self.take_report(now, id, ended);
        }
        if let Some(usage) = &reply.usage {
            self.take_usage(now, id, usage);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.plan_poll(now, &self.settings);
        }
    }

    fn take_exchange_fault(
        &mut self,
        now: TimePoint,
        id: &VmId,
        sent: &[SentCommand],
        fault: WorkerFault,
    ) {
        if fault != WorkerFault::AnswerLost
            && let Some(worker) = self.workers.get_mut(id)
        {
            worker.unsend(sent);
        }
        self.take_fault(now, id, fault);
    }

    fn take_fault(&mut self, now: TimePoint, id: &VmId, fault: WorkerFault) {
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

    fn take_result(
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
                if let Some(known) = worker.attempts.get_mut(key)
                    && matches!(known.stage, AttemptStage::Placed { .. })
                {
                    known.stage = AttemptStage::Held(AttemptPhase::Starting);
                    known.end_expected = expected;
                    worker.changed = now;
                    self.counters.starts += 1;
                }
            }
            (SentCommand::Start { key, .. }, CommandResult::Refused { reason }) => {
                if let Some(known) = worker.attempts.get_mut(key)
                    && matches!(known.stage, AttemptStage::Placed { .. })
                {
                    known.end(key, not_started(reason));
                }
                self.note_start_failure(now, id, &key.0);
            }
            (SentCommand::Stop(key), CommandResult::Done) => {
                if let Some(known) = worker.attempts.get_mut(key) {
                    known.stop_done = true;
                }
            }
            (SentCommand::Throttle(key, percent), CommandResult::Done) => {
                if let Some(known) = worker.attempts.get_mut(key) {
                    known.throttle_done = *percent;
                }
            }
            (SentCommand::Forget(key), _) => {
                worker.attempts.remove(key);
            }
            // The worker reports the attempt's end, which settles the command.
            (SentCommand::Stop(_) | SentCommand::Throttle(..), CommandResult::Refused { .. }) => {}
        }
    }

    /// Takes in that a worker runs an attempt.
    fn take_running(&mut self, now: TimePoint, id: &VmId, running: &RunningAttempt) {
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
        let Some(known) = worker.attempts.get_mut(&key) else {
            return;
        };
        if !known.is_live() {
            // It was given up while its worker seemed to be gone.
            known.stop = Some(StopReason::Orphaned);
            known.stop_since = now;
        }
        let started = !known.is_held();
        known.observe(running);
        self.endpoints.touch();
        if started {
            known.end_expected = expected;
            worker.changed = now;
        }
        if running.phase == AttemptPhase::Stopping {
            known.stop_done = true;
        }
    }

    /// Takes on an attempt that a worker runs and its owner did not expect there.
    ///
    /// The log may have lost its placement; then the placement is logged once more. Else the log
    /// gave the task to another attempt, and this one has to stop.
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
        let forgotten = is_forgotten(entry, task, running.attempt);
        let stage = AttemptStage::Held(running.phase);
        let mut known = WorkerAttempt::new(stage, running.size, spec, boot, now);
        if forgotten && !self.queue.has_intent(task) {
            self.queue.add_intent(task);
            self.outbox.push(ShardEvent::Placed {
                task: task.clone(),
                attempt: running.attempt,
                worker: id.clone(),
                boot,
            });
        } else {
            known.stop = Some(StopReason::Orphaned);
            known.stop_since = now;
        }
        worker
            .attempts
            .insert((task.clone(), running.attempt), known);
    }

    /// Takes in that an attempt ended on a worker.
    fn take_report(&mut self, now: TimePoint, id: &VmId, report: &EndedReport) {
        let ended = &report.ended;
        let key = (ended.task.clone(), ended.attempt);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let boot = worker.boot.unwrap_or_default();
        let entry = self.state.task(&ended.task);
        let mut placed = entry.is_some_and(|entry| entry.placement(ended.attempt).is_some());
        if is_forgotten(entry, &ended.task, ended.attempt) && !worker.attempts.contains_key(&key) {
            placed = true;
            self.outbox.push(ShardEvent::Placed {
                task: ended.task.clone(),
                attempt: ended.attempt,
                worker: id.clone(),
                boot,
            });
        }
        let fresh = if let Some(known) = worker.attempts.get_mut(&key) {
            let fresh = known.is_live();
            if fresh && known.stage != AttemptStage::Intended {
                known.stage = if placed || known.unlogged.is_some() {
                    AttemptStage::Ended(report.clone())
                } else {
                    AttemptStage::Logged
                };
            }
            fresh
        } else {
            let stage = if placed {
                AttemptStage::Ended(report.clone())
            } else {
                AttemptStage::Logged
            };
            let known = WorkerAttempt::new(stage, ResourceSize::default(), None, boot, now);
            worker.attempts.insert(key.clone(), known);
            placed
        };
        if !fresh {
            return;
        }
        worker.changed = now;
        self.endpoints.touch();
        self.learn_run_time(&key.0, report);
        if matches!(
            ended.outcome,
            TaskOutcome::NotStarted { .. } | TaskOutcome::Failed { .. }
        ) {
            self.note_start_failure(now, id, &key.0);
        } else {
            self.note_start_success(id);
            if ended.outcome == TaskOutcome::Completed {
                self.failures.forget(&key.0);
            }
        }
        self.plan_due = true;
    }
}

impl WorkerEntry {
    /// Takes back that commands were sent, since the call certainly took no effect.
    fn unsend(&mut self, sent: &[SentCommand]) {
        for command in sent {
            if let SentCommand::Start { key, repeat: false } = command
                && let Some(known) = self.attempts.get_mut(key)
                && known.stage == (AttemptStage::Placed { sent: true })
            {
                known.stage = AttemptStage::Placed { sent: false };
            }
        }
    }
}

fn is_same(key: &AttemptKey, task: &TaskId, attempt: AttemptNumber) -> bool {
    key.0 == *task && key.1 == attempt
}

/// Tells whether the log no longer shows that an attempt was placed, though it must have been.
fn is_forgotten(entry: Option<&TaskEntry>, task: &TaskId, attempt: AttemptNumber) -> bool {
    let Some(entry) = entry else {
        return true;
    };
    let open = entry.phase == TaskPhase::Open && entry.attempts < attempt;
    open && (is_replica(task) || entry.placements.is_empty())
}
