//! Calls to workers: seizures, and exchanges that renew leases and send commands.

use std::time::Duration;

use geraniumshed_model::prelude::{
    AttemptPhase, CheckpointId, ExchangeRequest, SeizeRequest, ShardId, ShardTerm, TimePoint,
    TimeSpan, VmId, VmPhase, WorkerCommand,
};

use super::message::ShardAction;
use super::scheduler::{OwnerStage, ShardScheduler};
use super::settings::SchedulerSettings;
use super::task_entry::is_replica;
use super::worker_entry::{
    AttemptKey, AttemptStage, SentCommand, StopReason, WorkerAttempt, WorkerCall, WorkerEntry,
};

/// A command with the entry by which its result is matched.
type TrackedCommand = (WorkerCommand, SentCommand);

impl ShardScheduler {
    /// Requests the calls that are due, with at most one in flight to each worker.
    pub(super) fn call_workers(&mut self, now: TimePoint) {
        let ready = self.stage == OwnerStage::Ready;
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for id in ids {
            let stops = self.ready_stops(now, &id);
            let checkpoints = self.checkpoints(&id);
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            if worker.call.is_some() || now < worker.retry_at || worker.vm.is_none() {
                continue;
            }
            if !worker.is_seized() {
                if ready && worker.phase() != VmPhase::Gone {
                    self.actions
                        .extend(worker.seize(&id, self.shard, self.term));
                }
                continue;
            }
            let commands = if ready {
                worker.commands(&checkpoints, &stops, &self.settings)
            } else {
                Vec::new()
            };
            let urgent = commands
                .iter()
                .any(|(_, sent)| !matches!(sent, SentCommand::Forget(_)));
            if urgent || now >= worker.exchange_due {
                let renews = self.may_renew_lease(now, &id);
                self.exchange(now, &id, commands, renews);
            }
        }
    }

    /// Returns whether a worker's lease may be renewed.
    ///
    /// Once a VM has been gone from the list for long enough that every lease has expired, a new
    /// owner places its batch tasks elsewhere. So an owner renews no lease of a VM that its own
    /// list shows as gone, and none while its list is outdated.
    fn may_renew_lease(&self, now: TimePoint, id: &VmId) -> bool {
        let listed = self
            .workers
            .get(id)
            .is_some_and(|worker| worker.phase() != VmPhase::Gone);
        let fresh = self
            .vms
            .as_of()
            .is_some_and(|as_of| now.since(as_of) <= self.settings.list_lag);
        listed && fresh
    }

    fn exchange(&mut self, now: TimePoint, id: &VmId, commands: Vec<TrackedCommand>, renews: bool) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let (Some(vm), Some(boot)) = (&worker.vm, worker.boot) else {
            return;
        };
        let address = vm.address;
        let (commands, sent): (Vec<_>, Vec<_>) = commands.into_iter().unzip();
        worker.sequence += 1;
        worker.mark_sent(&sent);
        worker.call = Some(WorkerCall::Exchange(worker.sequence, sent));
        let with_usage = now >= worker.usage_due;
        if with_usage {
            worker.usage_due = now + self.settings.usage_interval;
        }
        if renews {
            worker.lease_renewed = now;
        }
        let request = ExchangeRequest {
            term: self.term,
            boot,
            sequence: worker.sequence,
            lease: renews.then_some(TimeSpan(self.settings.lease)),
            commands,
            with_usage,
        };
        self.actions.push(ShardAction::Exchange {
            worker: id.clone(),
            address,
            request,
        });
    }

    /// Returns the checkpoints from which placed attempts on a worker resume.
    fn checkpoints(&self, id: &VmId) -> Vec<(AttemptKey, CheckpointId)> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let placed = worker.attempts.iter().filter(|(_, worker_attempt)| {
            matches!(worker_attempt.stage, AttemptStage::Placed { .. }) && worker_attempt.is_batch()
        });
        placed
            .filter_map(|(key, _)| {
                let checkpoint = self.state.task(&key.0)?.checkpoint.clone()?;
                Some((key.clone(), checkpoint))
            })
            .collect()
    }

    /// Returns the attempts on a worker whose stop may be sent now.
    ///
    /// A drained replica stops only after its replacement runs, or after a timeout. In addition,
    /// the endpoint of any replica is first published as leaving, for long enough that all daemons
    /// read it.
    fn ready_stops(&mut self, now: TimePoint, id: &VmId) -> Vec<AttemptKey> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let stopping = worker.attempts.iter().filter(|(_, worker_attempt)| {
            worker_attempt.stop.is_some()
                && !worker_attempt.is_stop_confirmed
                && worker_attempt.is_live()
        });
        let mut ready = Vec::new();
        let mut leaving = Vec::new();
        for (key, worker_attempt) in stopping {
            if !is_replica(&key.0) {
                ready.push(key.clone());
                continue;
            }
            let replaced = worker_attempt.stop != Some(StopReason::Drained)
                || self.has_newer_running_attempt(&key.0, key.1)
                || now.since(worker_attempt.stop_since) >= self.settings.replace_wait;
            if !replaced {
                continue;
            }
            match worker_attempt.leaving_since {
                None => leaving.push(key.clone()),
                Some(since) if now.since(since) >= self.settings.leave_wait => {
                    ready.push(key.clone());
                }
                Some(_) => {}
            }
        }
        if !leaving.is_empty() {
            self.endpoints.mark_changed();
        }
        if let Some(worker) = self.workers.get_mut(id) {
            for key in leaving {
                if let Some(worker_attempt) = worker.attempts.get_mut(&key) {
                    worker_attempt.leaving_since = Some(now);
                }
            }
        }
        ready
    }

    /// Returns when the scheduler needs a tick at the latest, if it gets no other input.
    pub fn wake_at(&self, now: TimePoint) -> TimePoint {
        let calls = self
            .workers
            .values()
            .filter(|worker| worker.call.is_none())
            .map(|worker| worker.exchange_due.max(worker.retry_at));
        let ticks = std::iter::once(now + WAKE_INTERVAL);
        let soonest = calls.chain(ticks).min().unwrap_or(now);
        soonest.max(now + MIN_WAKE_DELAY)
    }
}

/// The longest time between two ticks of a scheduler.
const WAKE_INTERVAL: Duration = Duration::from_millis(500);
/// The shortest time between two ticks of a scheduler.
const MIN_WAKE_DELAY: Duration = Duration::from_millis(20);

impl WorkerEntry {
    fn seize(&mut self, id: &VmId, shard: ShardId, term: ShardTerm) -> Option<ShardAction> {
        let address = self.vm.as_ref()?.address;
        self.call = Some(WorkerCall::Seize);
        Some(ShardAction::Seize {
            worker: id.clone(),
            address,
            request: SeizeRequest { shard, term },
        })
    }

    /// Returns the commands that bring the worker to the state that its owner decided on.
    fn commands(
        &self,
        checkpoints: &[(AttemptKey, CheckpointId)],
        stops: &[AttemptKey],
        settings: &SchedulerSettings,
    ) -> Vec<TrackedCommand> {
        let mut commands = Vec::new();
        let mut forgotten = Vec::new();
        for (key, worker_attempt) in &self.attempts {
            if worker_attempt.stage == AttemptStage::EndLogged {
                forgotten.push(forget(key));
            } else if stops.contains(key) {
                commands.push(stop(key, worker_attempt, settings));
            } else if worker_attempt.needs_throttle() {
                commands.push(throttle(key, worker_attempt.throttle));
            }
        }
        commands.extend(forgotten);
        for (key, worker_attempt) in &self.attempts {
            let same_boot = !settings.rules.check_boot || Some(worker_attempt.boot) == self.boot;
            if same_boot && worker_attempt.needs_start(settings) {
                let checkpoint = checkpoints.iter().find(|(of, _)| of == key);
                commands.extend(start(
                    key,
                    worker_attempt,
                    checkpoint.map(|(_, id)| id.clone()),
                ));
            }
        }
        commands
    }

    /// Marks the starts among the commands as sent.
    fn mark_sent(&mut self, sent: &[SentCommand]) {
        for command in sent {
            if let SentCommand::Start { key, .. } = command
                && let Some(worker_attempt) = self.attempts.get_mut(key)
                && !matches!(worker_attempt.stage, AttemptStage::Confirmed(_))
            {
                worker_attempt.stage = AttemptStage::Placed { sent: true };
            }
        }
    }

    /// Sets when the next exchange is due, by the changes that are expected on the worker.
    pub(super) fn schedule_exchange(&mut self, now: TimePoint, settings: &SchedulerSettings) {
        let mut due = now + settings.renewal;
        for worker_attempt in self.attempts.values() {
            match &worker_attempt.stage {
                AttemptStage::Confirmed(_)
                    if worker_attempt.stop == Some(StopReason::Preempted) =>
                {
                    due = due.min(now + settings.urgent_poll);
                }
                AttemptStage::Confirmed(AttemptPhase::Starting | AttemptPhase::Stopping) => {
                    due = due.min(now + settings.active_poll);
                }
                AttemptStage::Confirmed(AttemptPhase::Running) => {
                    if let Some(end) = worker_attempt.end_expected {
                        due = due.min(end.max(now + settings.end_poll));
                    }
                }
                AttemptStage::Proposed
                | AttemptStage::Placed { .. }
                | AttemptStage::Inherited
                | AttemptStage::Ended(_)
                | AttemptStage::EndLogged => {}
            }
        }
        self.exchange_due = due;
    }
}

impl WorkerAttempt {
    fn needs_start(&self, settings: &SchedulerSettings) -> bool {
        if self.stop.is_some() || self.spec.is_none() {
            return false;
        }
        match self.stage {
            AttemptStage::Placed { .. } => true,
            AttemptStage::Proposed => self.unlogged.is_some() || !settings.rules.log_before_start,
            AttemptStage::Inherited
            | AttemptStage::Confirmed(_)
            | AttemptStage::Ended(_)
            | AttemptStage::EndLogged => false,
        }
    }

    fn needs_throttle(&self) -> bool {
        self.is_confirmed() && self.stop.is_none() && self.throttle != self.confirmed_throttle
    }
}

fn start(
    key: &AttemptKey,
    worker_attempt: &WorkerAttempt,
    checkpoint: Option<CheckpointId>,
) -> Option<TrackedCommand> {
    let spec = worker_attempt.spec.as_ref()?;
    let command = WorkerCommand::Start {
        spec: spec.as_ref().clone(),
        attempt: key.1,
        size: worker_attempt.size,
        checkpoint,
    };
    let sent = SentCommand::Start {
        key: key.clone(),
        repeat: worker_attempt.stage == (AttemptStage::Placed { sent: true }),
    };
    Some((command, sent))
}

fn stop(
    key: &AttemptKey,
    worker_attempt: &WorkerAttempt,
    settings: &SchedulerSettings,
) -> TrackedCommand {
    let repeatable = worker_attempt
        .spec
        .as_ref()
        .is_some_and(|spec| spec.idempotent);
    let grace = if is_replica(&key.0) {
        settings.service_grace
    } else if repeatable && worker_attempt.stop == Some(StopReason::Preempted) {
        settings.preempt_grace
    } else {
        settings.batch_grace
    };
    let command = WorkerCommand::Stop {
        task: key.0.clone(),
        attempt: key.1,
        grace: TimeSpan(grace),
    };
    (command, SentCommand::Stop(key.clone()))
}

fn throttle(key: &AttemptKey, percent: u32) -> TrackedCommand {
    let command = WorkerCommand::Throttle {
        task: key.0.clone(),
        attempt: key.1,
        percent,
    };
    (command, SentCommand::Throttle(key.clone(), percent))
}

fn forget(key: &AttemptKey) -> TrackedCommand {
    let command = WorkerCommand::Forget {
        task: key.0.clone(),
        attempt: key.1,
    };
    (command, SentCommand::Forget(key.clone()))
}
