//! The owner's view of a worker and its attempts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::{
    AttemptNumber, AttemptPhase, BootId, EndedReport, ResourceSize, RunningAttempt, TaskClass,
    TaskId, TaskSpec, TimePoint, VmEntry, VmPhase,
};

use super::latency_control::LatencyStreak;
use super::worker_health::WorkerHealth;

/// The id of an attempt on a worker.
pub type AttemptKey = (TaskId, AttemptNumber);

/// The stage of an attempt on a worker, as far as the shard's owner knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptStage {
    /// The placement was proposed to the log and has not been read back.
    Proposed,
    /// The placement took effect, and the worker has not confirmed the start.
    Placed {
        /// Whether a start was sent that the worker may have received.
        sent: bool,
    },
    /// The placement is by an earlier owner, and the worker has not reported on it yet.
    Inherited,
    /// The worker confirmed that it has the attempt, in this phase.
    Confirmed(AttemptPhase),
    /// The attempt ended or never started; the log doesn't show its end yet.
    Ended(EndedReport),
    /// The log shows the end, so the worker may forget the attempt.
    EndLogged,
}

/// Why an attempt is to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its record no longer asks for it, or a newer attempt of the replica runs.
    Obsolete,
    /// Its worker is drained, leaves or, for a replica, is unreachable.
    Drained,
    /// A service or an urgent task needs its room.
    Preempted,
    /// It slows down a service that misses its latency goal.
    Interfering,
    /// The log doesn't show its placement.
    Orphaned,
}

/// The state of a replica's placement that the log did not confirm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnloggedPlacement {
    /// The placement has to be proposed again.
    Waiting,
    /// The placement was proposed again.
    Proposed,
}

/// One attempt on a worker.
#[derive(Debug, Clone)]
pub struct WorkerAttempt {
    /// The stage of the attempt.
    pub stage: AttemptStage,
    /// The size reserved for the attempt.
    pub size: ResourceSize,
    /// The specification of the task, unless its record is unknown.
    pub spec: Option<Arc<TaskSpec>>,
    /// The boot of the worker that the attempt belongs to.
    pub boot: BootId,
    /// The address at which the attempt takes requests.
    pub endpoint: Option<SocketAddr>,
    /// Why the attempt is to stop.
    pub stop: Option<StopReason>,
    /// When the stop was decided.
    pub stop_since: TimePoint,
    /// When a replica's endpoint was first published as leaving.
    pub leaving_since: Option<TimePoint>,
    /// Whether the worker confirmed the stop.
    pub is_stop_confirmed: bool,
    /// Whether the end was proposed to the log.
    pub is_end_proposed: bool,
    /// The share of its processors that the attempt may use, in percent.
    pub throttle: u32,
    /// The share that the worker confirmed, in percent.
    pub confirmed_throttle: u32,
    /// The resources that the attempt used in the last usage report.
    pub used: Option<ResourceSize>,
    /// When the attempt is expected to end, estimated from the run times of its group.
    pub end_expected: Option<TimePoint>,
    /// The state of the placement if it is a replica's and the log did not confirm it.
    ///
    /// Replicas may start without a confirmed placement, as they do during a log outage.
    pub unlogged: Option<UnloggedPlacement>,
}

/// The share of its processors that an attempt has without a throttle, in percent.
pub const FULL_SHARE_PERCENT: u32 = 100;

impl WorkerAttempt {
    /// Creates an attempt in a stage, without a stop, throttle or endpoint.
    pub fn new(
        stage: AttemptStage,
        size: ResourceSize,
        spec: Option<Arc<TaskSpec>>,
        boot: BootId,
        now: TimePoint,
    ) -> Self {
        Self {
            stage,
            size,
            spec,
            boot,
            endpoint: None,
            stop: None,
            stop_since: now,
            leaving_since: None,
            is_stop_confirmed: false,
            is_end_proposed: false,
            throttle: FULL_SHARE_PERCENT,
            confirmed_throttle: FULL_SHARE_PERCENT,
            used: None,
            end_expected: None,
            unlogged: None,
        }
    }

    /// Returns whether the attempt may use resources of its worker, now or later.
    pub fn is_live(&self) -> bool {
        !matches!(self.stage, AttemptStage::Ended(_) | AttemptStage::EndLogged)
    }

    /// Returns whether the worker confirmed that it has the attempt.
    pub fn is_confirmed(&self) -> bool {
        matches!(self.stage, AttemptStage::Confirmed(_))
    }

    /// Returns whether the attempt belongs to a batch task.
    pub fn is_batch(&self) -> bool {
        self.spec
            .as_ref()
            .is_some_and(|spec| spec.class == TaskClass::Batch)
    }

    /// Updates the attempt from the worker's report.
    pub fn observe(&mut self, running: &RunningAttempt) {
        self.stage = AttemptStage::Confirmed(running.phase);
        self.size = self.size.max(&running.size);
        self.endpoint = running.endpoint.or(self.endpoint);
    }
}

/// A command that was sent, to be matched with its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SentCommand {
    /// A start.
    Start {
        /// The attempt.
        key: AttemptKey,
        /// Whether an earlier start of the attempt may have reached the worker.
        repeat: bool,
    },
    /// A stop.
    Stop(AttemptKey),
    /// A throttle to a share in percent.
    Throttle(AttemptKey, u32),
    /// A permission to forget an attempt.
    Forget(AttemptKey),
}

/// A call to a worker that is in flight.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCall {
    /// A seizure.
    Seize,
    /// An exchange with its sequence number and commands.
    Exchange(u64, Vec<SentCommand>),
}

/// The owner's view of a worker.
#[derive(Debug, Clone, Default)]
pub struct WorkerEntry {
    /// The last entry in the platform's list, unless the worker was never listed.
    pub vm: Option<VmEntry>,
    /// When the list first showed the worker as gone.
    pub gone_since: Option<TimePoint>,
    /// The boot of the worker when the owner seized it, unless it has to be seized again.
    pub boot: Option<BootId>,
    /// Whether the inventory may differ from what the owner knows and has to be read again.
    pub inventory_stale: bool,
    /// The size of the worker.
    pub size: ResourceSize,
    /// The attempts on the worker.
    pub attempts: BTreeMap<AttemptKey, WorkerAttempt>,
    /// The sequence number of the last exchange.
    pub sequence: u64,
    /// The call in flight.
    pub call: Option<WorkerCall>,
    /// When the next exchange is due at the latest.
    pub exchange_due: TimePoint,
    /// When the next call may be made after a failed one.
    pub retry_at: TimePoint,
    /// When the lease was last renewed.
    pub lease_renewed: TimePoint,
    /// When the usage report is requested next.
    pub usage_due: TimePoint,
    /// When the worker last replied.
    pub last_reply: Option<TimePoint>,
    /// Whether an operator drains the worker.
    pub is_drained: bool,
    /// When an attempt last started or ended on the worker.
    pub attempts_changed: TimePoint,
    /// The recent reports of the worker's services in relation to their latency goals.
    pub latency_streak: LatencyStreak,
    /// The recent failures of attempts on the worker.
    pub health: WorkerHealth,
}

impl WorkerEntry {
    /// Returns whether the worker is seized and its inventory is known.
    pub fn is_seized(&self) -> bool {
        self.boot.is_some() && !self.inventory_stale
    }

    /// Returns the worker's phase in the platform's list; a VM that is not listed is gone.
    pub fn phase(&self) -> VmPhase {
        self.vm.as_ref().map_or(VmPhase::Gone, |vm| vm.phase)
    }

    /// Returns whether the worker is drained or its VM is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_drained || self.phase() == VmPhase::Leaving
    }

    /// Returns whether tasks may be placed on the worker.
    pub fn is_placeable(&self) -> bool {
        self.is_seized() && self.phase() == VmPhase::Live && !self.is_drained
    }

    /// Returns the size reserved for attempts that may use resources.
    pub fn reserved(&self) -> ResourceSize {
        self.attempts
            .values()
            .filter(|attempt| attempt.is_live())
            .fold(ResourceSize::default(), |sum, attempt| {
                sum.plus(&attempt.size)
            })
    }

    /// Returns the size that is not reserved.
    pub fn free(&self) -> ResourceSize {
        self.size.minus(&self.reserved())
    }

    /// Returns whether the worker has room for one more attempt of a size.
    pub fn has_room(&self, size: &ResourceSize) -> bool {
        self.reserved().plus(size).fits(&self.size)
    }

    /// Returns whether the worker is gone or has not replied for a time; it may still run tasks.
    ///
    /// The silence of a worker that never replied to this owner begins when the owner became ready.
    pub fn is_unreachable(&self, now: TimePoint, ready_since: TimePoint, limit: Duration) -> bool {
        let last_reply = self.last_reply.unwrap_or(ready_since);
        let silent = now.since(last_reply) >= limit;
        self.phase() == VmPhase::Gone || silent
    }

    /// Returns whether the worker certainly runs no task any more.
    ///
    /// This is the case once it has been gone for `wait`, in which every lease expires, whoever
    /// renewed it last.
    pub fn is_dead(&self, now: TimePoint, wait: Duration) -> bool {
        let gone = self.phase() == VmPhase::Gone;
        gone && self
            .gone_since
            .is_some_and(|since| now.since(since) >= wait)
    }
}

impl WorkerEntry {
    /// Updates the worker from its entry in the platform's list, if it has one.
    pub fn update_listing(&mut self, now: TimePoint, vm: Option<&VmEntry>) {
        if let Some(vm) = vm {
            self.vm = Some(vm.clone());
        } else if let Some(vm) = &mut self.vm {
            vm.phase = VmPhase::Gone;
        }
        if self.phase() != VmPhase::Gone {
            self.gone_since = None;
        } else if self.gone_since.is_none() {
            self.gone_since = Some(now);
        }
    }
}
