//! One attempt that a worker runs.

use std::time::Duration;

use geraniumshed_model::prelude::{
    AttemptNumber, AttemptPhase, CheckpointId, ResourceSize, RunningAttempt, TaskClass, TaskSpec,
    TimePoint,
};

use crate::command::SimulateCommand;
use crate::endpoint::EndpointServer;
use crate::truth::PlacementMark;

/// The pause between looks at an endpoint that finishes its requests.
const DRAIN_POLL: Duration = Duration::from_millis(20);

/// An attempt with its progress.
#[derive(Debug)]
pub(super) struct WorkerAttempt {
    pub(super) spec: TaskSpec,
    pub(super) attempt: AttemptNumber,
    pub(super) size: ResourceSize,
    pub(super) command: SimulateCommand,
    pub(super) phase: AttemptPhase,
    pub(super) mark: PlacementMark,
    pub(super) begin: TimePoint,
    /// The time at which the attempt works, or has written its checkpoint.
    pub(super) ready: TimePoint,
    /// The time at which a stop waits no longer.
    pub(super) stop_by: Option<TimePoint>,
    /// The work done, of a batch task.
    pub(super) work: Duration,
    /// The work done up to the time that progress was last counted.
    pub(super) counted: TimePoint,
    /// The work done a second, in thousandths of that alone.
    pub(super) speed: u32,
    pub(super) throttle: u32,
    pub(super) endpoint: Option<EndpointServer>,
    /// Whether the attempt fails at its end.
    pub(super) fails: bool,
}

/// What an attempt has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum AttemptStep {
    /// Nothing has changed.
    Same,
    /// The attempt works.
    Started,
    /// All work is done.
    Finished,
    /// A stop is through, with a checkpoint or without one.
    Stopped {
        /// Whether the work done is kept.
        kept: bool,
    },
}

impl WorkerAttempt {
    /// Returns what the worker reports.
    pub(super) fn report(&self) -> RunningAttempt {
        RunningAttempt {
            task: self.spec.task.clone(),
            attempt: self.attempt,
            phase: self.phase,
            size: self.size,
            endpoint: self.endpoint.as_ref().map(EndpointServer::address),
        }
    }

    /// Tells whether the attempt is of a batch task.
    pub(super) fn is_batch(&self) -> bool {
        self.spec.class == TaskClass::Batch
    }

    /// Returns all work of a batch task.
    pub(super) fn total(&self) -> Duration {
        self.command.run.unwrap_or_default()
    }

    /// Returns the load that the attempt puts on its neighbours, from 0 to 1.
    pub(super) fn load(&self) -> f64 {
        let share = f64::from(self.throttle.min(100)) / 100.0;
        match (&self.endpoint, self.phase) {
            (Some(endpoint), _) => endpoint.load(),
            (None, AttemptPhase::Running) => share * f64::from(self.command.use_percent) / 100.0,
            (None, AttemptPhase::Starting | AttemptPhase::Stopping) => 0.0,
        }
    }

    /// Counts the work done until now.
    pub(super) fn count_work(&mut self, now: TimePoint) {
        let works = self.is_batch() && self.phase == AttemptPhase::Running;
        if works {
            let elapsed = now.since(self.counted);
            let done = elapsed.mul_f64(f64::from(self.speed) / 1000.0);
            self.work = (self.work + done).min(self.total());
        }
        self.counted = now;
    }

    /// Begins a stop that waits for `grace` at most.
    pub(super) fn begin_stop(&mut self, now: TimePoint, grace: Duration) {
        if self.phase == AttemptPhase::Stopping {
            return;
        }
        self.count_work(now);
        self.phase = AttemptPhase::Stopping;
        self.stop_by = Some(now + grace);
        self.ready = now + self.command.checkpoint.unwrap_or_default();
        if let Some(endpoint) = &self.endpoint {
            endpoint.leave();
        }
    }

    /// Tells what the attempt has come to.
    pub(super) fn step(&mut self, now: TimePoint) -> AttemptStep {
        self.count_work(now);
        match self.phase {
            AttemptPhase::Starting if now >= self.ready => {
                self.phase = AttemptPhase::Running;
                AttemptStep::Started
            }
            AttemptPhase::Running if self.is_batch() && self.work >= self.total() => {
                AttemptStep::Finished
            }
            AttemptPhase::Starting | AttemptPhase::Running => AttemptStep::Same,
            AttemptPhase::Stopping => self.step_stop(now),
        }
    }

    fn step_stop(&self, now: TimePoint) -> AttemptStep {
        let out_of_time = self.stop_by.is_some_and(|limit| now >= limit);
        let is_through = match &self.endpoint {
            Some(endpoint) => endpoint.is_drained(),
            None => now >= self.ready,
        };
        if is_through {
            let kept = self.is_batch() && self.command.checkpoint.is_some();
            return AttemptStep::Stopped { kept };
        }
        if out_of_time {
            return AttemptStep::Stopped { kept: false };
        }
        AttemptStep::Same
    }

    /// Returns the time at which the attempt changes next, if nothing else happens.
    pub(super) fn next_change(&self, now: TimePoint) -> Option<TimePoint> {
        match self.phase {
            AttemptPhase::Starting => Some(self.ready),
            AttemptPhase::Running if self.is_batch() => {
                let rest = self.total().saturating_sub(self.work);
                let speed = f64::from(self.speed.max(1)) / 1000.0;
                Some(now + rest.div_f64(speed) + Duration::from_micros(1))
            }
            AttemptPhase::Running => None,
            AttemptPhase::Stopping => {
                let check = match self.endpoint {
                    Some(_) => now + DRAIN_POLL,
                    None => self.ready,
                };
                Some(self.stop_by.map_or(check, |limit| limit.min(check)))
            }
        }
    }
}

/// Where an attempt resumes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ResumePoint {
    pub(super) checkpoint: Option<CheckpointId>,
    pub(super) work: Duration,
}
