//! Runs that were given up with a silent worker, until it is known whether the worker has crashed.
//!
//! A lease may expire before a crashed worker is back. The crash is proved by a new process of the
//! worker, or by another worker at its address, and disproved by an answer of the same process.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use super::action::PlannerTime;
use super::planner::JobPlanner;
use super::worker_loss::WorkerRunLoss;
use crate::job::{TaskKey, WorkerId};

/// How long a loss is remembered.
const RETENTION: Duration = Duration::from_mins(1);

/// The runs that were given up with silent workers.
#[derive(Debug, Clone, Default)]
pub(super) struct UnprovedLosses {
    /// The losses, oldest first.
    losses: VecDeque<UnprovedLoss>,
}

/// A run that was given up with a silent worker.
#[derive(Debug, Clone)]
struct UnprovedLoss {
    at: TimePoint,
    worker: WorkerId,
    address: Option<SocketAddr>,
    task: TaskKey,
    loss: WorkerRunLoss,
}

impl UnprovedLosses {
    /// Records that a run was given up with a worker.
    pub(super) fn record(
        &mut self,
        at: TimePoint,
        worker: &WorkerId,
        address: Option<SocketAddr>,
        task: TaskKey,
        loss: WorkerRunLoss,
    ) {
        let is_expired = |one: &mut UnprovedLoss| at.since(one.at) > RETENTION;
        while self.losses.pop_front_if(is_expired).is_some() {}
        self.losses.push_back(UnprovedLoss {
            at,
            worker: worker.clone(),
            address,
            task,
            loss,
        });
    }

    /// Forgets the losses of a worker, which hasn't crashed.
    pub(super) fn disprove(&mut self, worker: &WorkerId) {
        self.losses.retain(|one| one.worker != *worker);
    }

    /// Takes the losses that match.
    fn take(&mut self, matches: impl Fn(&UnprovedLoss) -> bool) -> Vec<UnprovedLoss> {
        let (taken, kept): (VecDeque<_>, VecDeque<_>) = std::mem::take(&mut self.losses)
            .into_iter()
            .partition(matches);
        self.losses = kept;
        taken.into()
    }
}

impl JobPlanner {
    /// Counts the losses of a worker, which has a new process.
    pub(super) fn prove_losses_by_restart(&mut self, now: PlannerTime, worker: &WorkerId) {
        let proved = self.unproved_losses.take(|one| one.worker == *worker);
        self.count_proved(now, proved);
    }

    /// Counts the losses of other workers at an address at which a worker is new.
    pub(super) fn prove_losses_by_address(&mut self, now: PlannerTime, address: SocketAddr) {
        let proved = self
            .unproved_losses
            .take(|one| one.address == Some(address));
        self.count_proved(now, proved);
    }

    fn count_proved(&mut self, now: PlannerTime, proved: Vec<UnprovedLoss>) {
        for one in proved {
            let loss = WorkerRunLoss {
                is_crash: true,
                ..one.loss
            };
            self.count_crash(now, &one.worker, one.task, loss);
        }
    }
}
