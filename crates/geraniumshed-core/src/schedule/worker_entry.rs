//! What the owner of a shard knows of one of its workers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use geraniumshed_model::prelude::{
    AttemptNumber, AttemptPhase, BootId, EndedReport, ResourceSize, RunningAttempt, TaskClass,
    TaskId, TaskSpec, TimePoint, VmEntry, VmPhase,
};

use super::ladder::WorkerStrain;
use super::worker_health::WorkerHealth;

/// The id of an attempt on a worker.
pub type AttemptKey = (TaskId, AttemptNumber);

/// How far an attempt on a worker has come, as its owner knows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AttemptStage {
    /// The placement was given to the log and has not been read back.
    Intended,
    /// The placement counts, and the worker has not confirmed the start.
    Placed {
        /// Whether a start was sent, so that the worker may have it.
        sent: bool,
    },
    /// The placement is of an earlier owner, and the worker has not said what became of it.
    Inherited,
    /// The worker has the attempt.
    Held(AttemptPhase),
    /// The attempt ended or never started; its end is not in the log yet.
    Ended(EndedReport),
    /// The end is in the log, and the worker may forget the attempt.
    Logged,
}

/// Why an attempt is to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// Its record no longer asks for it.
    Unwanted,
    /// Its worker is drained or leaves.
    Drained,
    /// Work of a higher urgency needs its room.
    Preempted,
    /// It slows a service down.
    Interfering,
    /// The log knows nothing of it.
    Orphaned,
}

/// How far the placement of a replica is that the log did not confirm.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnloggedPlacement {
    /// The placement has to be given to the log again.
    Waiting,
    /// The placement was given to the log again.
    Proposed,
}

/// One attempt on a worker.
#[derive(Debug, Clone)]
pub struct WorkerAttempt {
    /// How far the attempt has come.
    pub stage: AttemptStage,
    /// The size reserved for the attempt.
    pub size: ResourceSize,
    /// What the attempt runs, unless its record is not known.
    pub spec: Option<Arc<TaskSpec>>,
    /// The boot of the worker that the attempt belongs to.
    pub boot: BootId,
    /// The address at which the attempt takes requests.
    pub endpoint: Option<SocketAddr>,
    /// Why the attempt is to stop.
    pub stop: Option<StopReason>,
    /// When the stop was decided.
    pub stop_since: TimePoint,
    /// Since when a replica's endpoint is published as leaving.
    pub leaving_since: Option<TimePoint>,
    /// Whether the worker confirmed the stop.
    pub stop_done: bool,
    /// Whether the end was given to the log.
    pub end_proposed: bool,
    /// The share of its processors that the attempt may use, in percent.
    pub throttle: u32,
    /// The share that the worker confirmed.
    pub throttle_done: u32,
    /// What the attempt used, by the last report.
    pub used: Option<ResourceSize>,
    /// When the attempt is expected to end, by the run times of its like.
    pub end_expected: Option<TimePoint>,
    /// How far a replica's placement is that starts without the log, as replicas may in an outage.
    pub unlogged: Option<UnloggedPlacement>,
}

/// The share of its processors that an attempt has without a throttle, in percent.
pub const FULL_SHARE_PERCENT: u32 = 100;

impl WorkerAttempt {
    /// Creates an attempt of a stage.
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
            stop_done: false,
            end_proposed: false,
            throttle: FULL_SHARE_PERCENT,
            throttle_done: FULL_SHARE_PERCENT,
            used: None,
            end_expected: None,
            unlogged: None,
        }
    }

    /// Tells whether the attempt may use resources of its worker, now or later.
    pub fn is_live(&self) -> bool {
        !matches!(self.stage, AttemptStage::Ended(_) | AttemptStage::Logged)
    }

    /// Tells whether the worker has the attempt.
    pub fn is_held(&self) -> bool {
        matches!(self.stage, AttemptStage::Held(_))
    }

    /// Tells whether the attempt is a batch task's.
    pub fn is_batch(&self) -> bool {
        self.spec
            .as_ref()
            .is_some_and(|spec| spec.class == TaskClass::Batch)
    }

    /// Takes in what the worker says of the attempt.
    pub fn observe(&mut self, running: &RunningAttempt) {
        self.stage = AttemptStage::Held(running.phase);
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
    /// Leave to forget an attempt.
    Forget(AttemptKey),
}

/// A call to a worker that is under way.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkerCall {
    /// A seizure.
    Seize,
    /// An exchange of a number with its commands.
    Exchange(u64, Vec<SentCommand>),
}

/// What the owner of a shard knows of one of its workers.
#[derive(Debug, Clone, Default)]
pub struct WorkerEntry {
    /// The worker in the platform's list, unless it was never listed.
    pub vm: Option<VmEntry>,
    /// When the list first showed the worker as gone.
    pub gone_since: Option<TimePoint>,
    /// The boot under which the worker is seized under the owner's term.
    pub boot: Option<BootId>,
    /// Whether the inventory may have changed unseen, so that it has to be read again.
    pub inventory_stale: bool,
    /// The size of the worker.
    pub size: ResourceSize,
    /// The attempts on the worker.
    pub attempts: BTreeMap<AttemptKey, WorkerAttempt>,
    /// The number of the last exchange.
    pub sequence: u64,
    /// The call under way.
    pub call: Option<WorkerCall>,
    /// When the next call is due.
    pub due: TimePoint,
    /// When the next call may be made at the soonest, after one failed.
    pub retry_at: TimePoint,
    /// When the lease was last renewed.
    pub renewed: TimePoint,
    /// When the usage is asked for next.
    pub usage_due: TimePoint,
    /// When the worker last answered.
    pub answered: Option<TimePoint>,
    /// Whether an operator drains the worker.
    pub drained: bool,
    /// When the set of running attempts last changed.
    pub changed: TimePoint,
    /// How far the worker's services are from their latency goals.
    pub strain: WorkerStrain,
    /// How the worker did with what it was asked to start.
    pub health: WorkerHealth,
}

impl WorkerEntry {
    /// Tells whether the worker is seized and its inventory is known.
    pub fn is_seized(&self) -> bool {
        self.boot.is_some() && !self.inventory_stale
    }

    /// Returns the worker's phase in the platform's list; a VM that is not listed is gone.
    pub fn phase(&self) -> VmPhase {
        self.vm.as_ref().map_or(VmPhase::Gone, |vm| vm.phase)
    }

    /// Tells whether the worker is to be emptied.
    pub fn is_leaving(&self) -> bool {
        self.drained || self.phase() == VmPhase::Leaving
    }

    /// Tells whether tasks may be placed on the worker.
    pub fn is_placeable(&self) -> bool {
        self.is_seized() && self.phase() == VmPhase::Live && !self.drained
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

    /// Returns the size that is left.
    pub fn free(&self) -> ResourceSize {
        self.size.minus(&self.reserved())
    }

    /// Tells whether the attempts that may use resources, with one more, are within the size.
    pub fn has_room(&self, size: &ResourceSize) -> bool {
        self.reserved().plus(size).fits(&self.size)
    }

    /// Tells whether the worker is gone or has been silent, though it may still run its tasks.
    pub fn is_unreachable(&self, now: TimePoint, limit: Duration) -> bool {
        let silent = self
            .answered
            .is_some_and(|answered| now.since(answered) >= limit);
        self.phase() == VmPhase::Gone || silent
    }

    /// Tells whether the worker certainly runs nothing any more.
    ///
    /// That is so once its lease has lapsed, whoever renewed it last.
    pub fn is_dead(&self, now: TimePoint, wait: Duration) -> bool {
        let gone = self.phase() == VmPhase::Gone;
        gone && self
            .gone_since
            .is_some_and(|since| now.since(since) >= wait)
    }
}

impl WorkerEntry {
    /// Takes in what the platform's list says of the worker, if anything.
    pub fn take_listing(&mut self, now: TimePoint, vm: Option<&VmEntry>) {
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
