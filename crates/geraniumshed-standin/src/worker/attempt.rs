//! An attempt of a task that a worker runs.

use std::time::Duration;

use geraniumshed_model::prelude::{
    AttemptNumber, AttemptPhase, CheckpointId, ResourceSize, RunningAttempt, TaskClass, TaskSpec,
    TimePoint,
};

use crate::command::SimulateCommand;
use crate::endpoint::EndpointServer;
use crate::history::PlacementIndex;

/// The interval at which a draining endpoint is checked for remaining requests.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A simulated attempt and its progress.
#[derive(Debug)]
pub(super) struct WorkerAttempt {
    pub(super) spec: TaskSpec,
    pub(super) attempt: AttemptNumber,
    pub(super) size: ResourceSize,
    pub(super) command: SimulateCommand,
    pub(super) phase: AttemptPhase,
    pub(super) placement: PlacementIndex,
    pub(super) begin: TimePoint,
    /// When startup completes or, while stopping, when the checkpoint is written.
    pub(super) ready: TimePoint,
    /// When a stop ends the attempt even without a checkpoint.
    pub(super) stop_deadline: Option<TimePoint>,
    /// The work done by a batch task.
    pub(super) work: Duration,
    /// The time up to which `work` is counted.
    pub(super) counted_until: TimePoint,
    /// The rate of progress, in thousandths of the rate without neighbours.
    pub(super) speed: u32,
    /// The share of the full rate that the throttle allows, in percent.
    pub(super) throttle: u32,
    pub(super) endpoint: Option<EndpointServer>,
    /// Whether the attempt fails once its work is done.
    pub(super) will_fail: bool,
}

/// A state transition of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptTransition {
    /// The state has not changed.
    Unchanged,
    /// The attempt is running.
    Started,
    /// All work is done.
    Finished,
    /// A requested stop is complete.
    Stopped {
        /// Whether a checkpoint preserves the work done.
        is_saved: bool,
    },
}

impl WorkerAttempt {
    /// Returns the attempt as the worker reports it to its owner.
    pub(super) fn report(&self) -> RunningAttempt {
        RunningAttempt {
            task: self.spec.task.clone(),
            attempt: self.attempt,
            phase: self.phase,
            size: self.size,
            endpoint: self.endpoint.as_ref().map(EndpointServer::address),
        }
    }

    /// Returns whether the attempt belongs to a batch task.
    pub(super) fn is_batch(&self) -> bool {
        self.spec.class == TaskClass::Batch
    }

    /// Returns the total work of a batch task.
    pub(super) fn total_work(&self) -> Duration {
        self.command.run.unwrap_or_default()
    }

    /// Returns the load that slows the attempt's neighbours down, from 0 to 1.
    pub(super) fn load(&self) -> f64 {
        let share = f64::from(self.throttle.min(100)) / 100.0;
        match (&self.endpoint, self.phase) {
            (Some(endpoint), _) => endpoint.load(),
            (None, AttemptPhase::Running) => share * f64::from(self.command.use_percent) / 100.0,
            (None, AttemptPhase::Starting | AttemptPhase::Stopping) => 0.0,
        }
    }

    /// Adds the work done since the last count.
    pub(super) fn count_work(&mut self, now: TimePoint) {
        let works = self.is_batch() && self.phase == AttemptPhase::Running;
        if works {
            let elapsed = now.since(self.counted_until);
            let done = elapsed.mul_f64(f64::from(self.speed) / 1000.0);
            self.work = (self.work + done).min(self.total_work());
        }
        self.counted_until = now;
    }

    /// Begins a stop that takes at most `grace`.
    pub(super) fn begin_stop(&mut self, now: TimePoint, grace: Duration) {
        if self.phase == AttemptPhase::Stopping {
            return;
        }
        self.count_work(now);
        self.phase = AttemptPhase::Stopping;
        self.stop_deadline = Some(now + grace);
        self.ready = now + self.command.checkpoint.unwrap_or_default();
        if let Some(endpoint) = &self.endpoint {
            endpoint.leave();
        }
    }

    /// Advances the attempt to the current time and returns the resulting transition.
    pub(super) fn advance(&mut self, now: TimePoint) -> AttemptTransition {
        self.count_work(now);
        match self.phase {
            AttemptPhase::Starting if now >= self.ready => {
                self.phase = AttemptPhase::Running;
                AttemptTransition::Started
            }
            AttemptPhase::Running if self.is_batch() && self.work >= self.total_work() => {
                AttemptTransition::Finished
            }
            AttemptPhase::Starting | AttemptPhase::Running => AttemptTransition::Unchanged,
            AttemptPhase::Stopping => self.advance_stop(now),
        }
    }

    fn advance_stop(&self, now: TimePoint) -> AttemptTransition {
        let out_of_time = self.stop_deadline.is_some_and(|limit| now >= limit);
        let is_complete = match &self.endpoint {
            Some(endpoint) => endpoint.is_drained(),
            None => now >= self.ready,
        };
        if is_complete {
            let is_saved = self.is_batch() && self.command.checkpoint.is_some();
            return AttemptTransition::Stopped { is_saved };
        }
        if out_of_time {
            return AttemptTransition::Stopped { is_saved: false };
        }
        AttemptTransition::Unchanged
    }

    /// Returns when the attempt's state changes next if it receives no command.
    pub(super) fn next_change(&self, now: TimePoint) -> Option<TimePoint> {
        match self.phase {
            AttemptPhase::Starting => Some(self.ready),
            AttemptPhase::Running if self.is_batch() => {
                let rest = self.total_work().saturating_sub(self.work);
                let speed = f64::from(self.speed.max(1)) / 1000.0;
                Some(now + rest.div_f64(speed) + Duration::from_micros(1))
            }
            AttemptPhase::Running => None,
            AttemptPhase::Stopping => {
                let check = match self.endpoint {
                    Some(_) => now + DRAIN_POLL_INTERVAL,
                    None => self.ready,
                };
                Some(self.stop_deadline.map_or(check, |limit| limit.min(check)))
            }
        }
    }
}

/// The checkpoint and the completed work that an attempt starts from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ResumePoint {
    pub(super) checkpoint: Option<CheckpointId>,
    pub(super) work: Duration,
}
