//! The calls to workers: seizures, and exchanges that renew leases and carry commands.

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

/// A command with the note by which its result is matched.
type NotedCommand = (WorkerCommand, SentCommand);

impl ShardScheduler {
    /// Makes the calls that are due, at most one at a time to each worker.
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
            if urgent || now >= worker.due {
                let renews = self.renews_lease(now, &id);
                self.exchange(now, &id, commands, renews);
            }
        }
    }

    /// Tells whether a worker's lease may be renewed.
    ///
    /// A new owner moves batch tasks off a VM that its list shows as gone once every lease has
    /// lapsed, so no daemon renews against its own list or without a recent one.
    fn renews_lease(&self, now: TimePoint, id: &VmId) -> bool {
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

    fn exchange(&mut self, now: TimePoint, id: &VmId, commands: Vec<NotedCommand>, renews: bool) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let (Some(vm), Some(boot)) = (&worker.vm, worker.boot) else {
            return;
        };
        let address = vm.address;
        let (commands, sent): (Vec<_>, Vec<_>) = commands.into_iter().unzip();
        worker.sequence += 1;
        worker.note_sent(&sent);
        worker.call = Some(WorkerCall::Exchange(worker.sequence, sent));
        let with_usage = now >= worker.usage_due;
        if with_usage {
            worker.usage_due = now + self.settings.usage_interval;
        }
        if renews {
            worker.renewed = now;
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

    /// Returns the checkpoints from which attempts on a worker resume.
    fn checkpoints(&self, id: &VmId) -> Vec<(AttemptKey, CheckpointId)> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let placed = worker.attempts.iter().filter(|(_, known)| {
            matches!(known.stage, AttemptStage::Placed { .. }) && known.is_batch()
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
    /// A replica stops once its successor takes requests and daemons had time to see its endpoint
    /// as leaving.
    fn ready_stops(&mut self, now: TimePoint, id: &VmId) -> Vec<AttemptKey> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let stopping = worker
            .attempts
            .iter()
            .filter(|(_, known)| known.stop.is_some() && !known.stop_done && known.is_live());
        let mut ready = Vec::new();
        let mut leaving = Vec::new();
        for (key, known) in stopping {
            if !is_replica(&key.0) {
                ready.push(key.clone());
                continue;
            }
            let replaced = known.stop != Some(StopReason::Drained)
                || self.newer_runs(&key.0, key.1)
                || now.since(known.stop_since) >= self.settings.replace_wait;
            if !replaced {
                continue;
            }
            match known.leaving_since {
                None => leaving.push(key.clone()),
                Some(since) if now.since(since) >= self.settings.leave_wait => {
                    ready.push(key.clone());
                }
                Some(_) => {}
            }
        }
        if !leaving.is_empty() {
            self.endpoints.touch();
        }
        if let Some(worker) = self.workers.get_mut(id) {
            for key in leaving {
                if let Some(known) = worker.attempts.get_mut(&key) {
                    known.leaving_since = Some(now);
                }
            }
        }
        ready
    }

    /// Returns when the scheduler has to be woken at the latest, if nothing else happens.
    pub fn wake_at(&self, now: TimePoint) -> TimePoint {
        let calls = self
            .workers
            .values()
            .filter(|worker| worker.call.is_none())
            .map(|worker| worker.due.max(worker.retry_at));
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

    /// Returns the commands that bring the worker to what its owner wants.
    fn commands(
        &self,
        checkpoints: &[(AttemptKey, CheckpointId)],
        stops: &[AttemptKey],
        settings: &SchedulerSettings,
    ) -> Vec<NotedCommand> {
        let mut commands = Vec::new();
        let mut forgotten = Vec::new();
        for (key, known) in &self.attempts {
            if known.stage == AttemptStage::Logged {
                forgotten.push(forget(key));
            } else if stops.contains(key) {
                commands.push(stop(key, known, settings));
            } else if known.wants_throttle() {
                commands.push(throttle(key, known.throttle));
            }
        }
        commands.extend(forgotten);
        for (key, known) in &self.attempts {
            let same_boot = !settings.rules.check_boot || Some(known.boot) == self.boot;
            if same_boot && known.wants_start(settings) {
                let checkpoint = checkpoints.iter().find(|(of, _)| of == key);
                commands.extend(start(key, known, checkpoint.map(|(_, id)| id.clone())));
            }
        }
        commands
    }

    fn note_sent(&mut self, sent: &[SentCommand]) {
        for command in sent {
            if let SentCommand::Start { key, .. } = command
                && let Some(known) = self.attempts.get_mut(key)
                && !matches!(known.stage, AttemptStage::Held(_))
            {
                known.stage = AttemptStage::Placed { sent: true };
            }
        }
    }

    /// Sets when the next exchange is due, by what is about to happen on the worker.
    pub(super) fn plan_poll(&mut self, now: TimePoint, settings: &SchedulerSettings) {
        let mut due = now + settings.renewal;
        for known in self.attempts.values() {
            match &known.stage {
                AttemptStage::Held(_) if known.stop == Some(StopReason::Preempted) => {
                    due = due.min(now + settings.urgent_poll);
                }
                AttemptStage::Held(AttemptPhase::Starting | AttemptPhase::Stopping) => {
                    due = due.min(now + settings.active_poll);
                }
                AttemptStage::Held(AttemptPhase::Running) => {
                    if let Some(end) = known.end_expected {
                        due = due.min(end.max(now + settings.end_poll));
                    }
                }
                AttemptStage::Intended
                | AttemptStage::Placed { .. }
                | AttemptStage::Inherited
                | AttemptStage::Ended(_)
                | AttemptStage::Logged => {}
            }
        }
        self.due = due;
    }
}

impl WorkerAttempt {
    fn wants_start(&self, settings: &SchedulerSettings) -> bool {
        if self.stop.is_some() || self.spec.is_none() {
            return false;
        }
        match self.stage {
            AttemptStage::Placed { .. } => true,
            AttemptStage::Intended => self.unlogged.is_some() || !settings.rules.log_before_start,
            AttemptStage::Inherited
            | AttemptStage::Held(_)
            | AttemptStage::Ended(_)
            | AttemptStage::Logged => false,
        }
    }

    fn wants_throttle(&self) -> bool {
        self.is_held() && self.stop.is_none() && self.throttle != self.throttle_done
    }
}

fn start(
    key: &AttemptKey,
    known: &WorkerAttempt,
    checkpoint: Option<CheckpointId>,
) -> Option<NotedCommand> {
    let spec = known.spec.as_ref()?;
    let command = WorkerCommand::Start {
        spec: spec.as_ref().clone(),
        attempt: key.1,
        size: known.size,
        checkpoint,
    };
    let sent = SentCommand::Start {
        key: key.clone(),
        repeat: known.stage == (AttemptStage::Placed { sent: true }),
    };
    Some((command, sent))
}

fn stop(key: &AttemptKey, known: &WorkerAttempt, settings: &SchedulerSettings) -> NotedCommand {
    let repeatable = known.spec.as_ref().is_some_and(|spec| spec.idempotent);
    let grace = if is_replica(&key.0) {
        settings.service_grace
    } else if repeatable && known.stop == Some(StopReason::Preempted) {
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

fn throttle(key: &AttemptKey, percent: u32) -> NotedCommand {
    let command = WorkerCommand::Throttle {
        task: key.0.clone(),
        attempt: key.1,
        percent,
    };
    (command, SentCommand::Throttle(key.clone(), percent))
}

fn forget(key: &AttemptKey) -> NotedCommand {
    let command = WorkerCommand::Forget {
        task: key.0.clone(),
        attempt: key.1,
    };
    (command, SentCommand::Forget(key.clone()))
}
