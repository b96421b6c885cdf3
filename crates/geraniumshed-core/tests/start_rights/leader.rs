//! A leader: a planner with the state of its writer.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use geraniumshed_core::assignment::{
    JobPlanner, PlannerSettings, PlannerTime, StoreBatch, StoreChange,
};
use geraniumshed_core::intake::AppendMonitor;
use geraniumshed_core::job::{QueueName, QueuePolicy, TaskKey, WorkerId};
use geraniumshed_core::leadership::LeaderTerm;
use geraniumshed_core::worker::{
    RenewReply, SentRenewal, StartAnswer, WorkerFailure, WorkerListing,
};
use geraniumshed_model::prelude::TimePoint;

use crate::store::{AppendResult, StoreModel};
use crate::worker::LONGEST_LEASE;
use crate::world::JOB;

/// The time that a leader that resigns waits for its last changes to be stored.
pub const FINAL_BATCH_TIMEOUT: Duration = Duration::from_millis(250);

/// What a leader gets to know.
#[derive(Debug, Clone)]
pub enum LeaderInput {
    Start(WorkerId, TaskKey, u32, Result<StartAnswer, WorkerFailure>),
    Stop(WorkerId, Result<(), WorkerFailure>),
    Renew(WorkerId, SentRenewal, RenewOutcome),
    Appended(u64, AppendResult),
    Listed(Vec<WorkerListing>),
}

/// The outcome of a renewal.
#[derive(Debug, Clone)]
pub enum RenewOutcome {
    Answered(RenewReply),
    OtherWorker,
    Fenced,
    Failed,
}

/// The phase of a leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeaderPhase {
    Claimed,
    Fenced,
    Leading,
    Resigning,
    Ended,
}

/// A leader.
#[derive(Debug)]
pub struct Leader {
    pub term: LeaderTerm,
    pub planner: JobPlanner,
    pub phase: LeaderPhase,
    pub is_frozen: bool,
    /// When the leader was last frozen.
    pub frozen_at: TimePoint,
    /// What arrived while the leader was frozen.
    pub inbox: VecDeque<LeaderInput>,
    /// The batch that isn't known to be stored yet.
    pub in_flight: Option<StoreBatch>,
    pub sequence: u64,
    /// Since when the store has left an append unanswered.
    pub unanswered_since: Option<TimePoint>,
    /// Whether the store is slow, so that leases are prolonged.
    pub monitor: AppendMonitor,
    /// The time from which stored leases are counted.
    counted_from: TimePoint,
    /// When the leader before asked this one to lead, if it did.
    pub requested_at: Option<TimePoint>,
    pub listed: Vec<WorkerListing>,
    pub resigned_at: TimePoint,
    /// Whether the store refuses to delete requests for this leader.
    pub is_refused_deletions: bool,
    has_final_batch: bool,
    /// How far the removal of the job has come.
    removal: JobRemoval,
}

/// How far the removal of a forgotten job has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobRemoval {
    NotForgotten,
    Forgotten,
    RequestDeleted,
}

impl Leader {
    /// Creates a leader whose claim is stored.
    pub fn new(term: LeaderTerm, job_retention: Duration) -> Self {
        let settings = PlannerSettings {
            longest_lease: LONGEST_LEASE,
            job_retention,
            ..PlannerSettings::default()
        };
        Self::with_settings(term, settings)
    }

    /// Creates a leader with the given settings.
    pub fn with_settings(term: LeaderTerm, settings: PlannerSettings) -> Self {
        let mut planner = JobPlanner::new(settings, term.first_token());
        let policy = QueuePolicy {
            service: "s".into(),
            priority: 0,
            attempt_limit: 3,
            stretch: 2.0,
            latency_objective: Duration::from_millis(500),
            advice: None,
        };
        planner.replace_queues(BTreeMap::from([(QueueName::from("q"), policy)]));
        Self {
            term,
            planner,
            phase: LeaderPhase::Claimed,
            is_frozen: false,
            frozen_at: TimePoint::default(),
            inbox: VecDeque::new(),
            in_flight: None,
            sequence: 0,
            unanswered_since: None,
            monitor: AppendMonitor::default(),
            counted_from: TimePoint::default(),
            requested_at: None,
            listed: Vec::new(),
            resigned_at: TimePoint::default(),
            is_refused_deletions: false,
            has_final_batch: false,
            removal: JobRemoval::NotForgotten,
        }
    }

    /// Deletes the progress of a forgotten job only once its request is deleted, as the writer of
    /// batches does.
    pub fn replace_forgets(&mut self, batch: &mut StoreBatch) {
        let count = batch.changes.len();
        let is_kept = |change: &StoreChange| !matches!(change, StoreChange::Forget(_));
        batch.changes.retain(is_kept);
        if batch.changes.len() < count {
            self.removal = JobRemoval::Forgotten;
        }
        if self.removal == JobRemoval::RequestDeleted {
            batch.changes.push(StoreChange::Forget(JOB));
        }
    }

    /// Returns whether the request of a forgotten job has to be deleted now.
    pub fn delete_request(&mut self) -> bool {
        let is_due = self.removal == JobRemoval::Forgotten;
        if is_due {
            self.removal = JobRemoval::RequestDeleted;
        }
        is_due
    }

    /// Returns whether the leader plans and sends calls.
    pub fn is_leading(&self) -> bool {
        self.phase == LeaderPhase::Leading && !self.is_frozen
    }

    /// Fences earlier leaders.
    pub fn fence(&mut self, store: &mut StoreModel, now: TimePoint) {
        self.phase = match store.fence(self.term) {
            AppendResult::Stored => LeaderPhase::Fenced,
            AppendResult::Fenced => LeaderPhase::Ended,
        };
        self.fenced(now, now);
    }

    /// Records that the store has confirmed that earlier leaders are fenced, and when it was asked to.
    pub fn fenced(&mut self, asked_at: TimePoint, now: TimePoint) {
        self.counted_from = self.requested_at.unwrap_or(now);
        self.planner.confirm_lead(asked_at);
    }

    /// Reads the stored state and begins to lead.
    pub fn read(&mut self, store: &StoreModel, now: PlannerTime) {
        let leases = store.leases.clone();
        let leases = leases.filter(|(term, _)| term.precedes(self.term));
        let leases = leases.map(|(_, snapshot)| snapshot);
        self.planner.restore_leases(now, self.counted_from, leases);
        for (id, request) in &store.requests {
            match store.jobs.get(id) {
                Some(stored) => {
                    let stored = stored.clone();
                    self.planner.restore(now, *id, request.clone(), stored);
                }
                None => self.planner.submit(*id, request.clone()),
            }
        }
        let unrequested = store.jobs.iter();
        for (id, stored) in unrequested.filter(|(id, _)| !store.requests.contains_key(id)) {
            self.planner.restore_ended(*id, stored.clone());
        }
        for (id, crashes) in &store.crashes {
            self.planner.restore_crashes(*id, crashes.clone());
        }
        self.planner.restore_waits(now, store.waits.clone());
        self.planner
            .restore_interference(store.interference.clone());
        self.phase = LeaderPhase::Leading;
    }

    /// Passes an input to the planner.
    pub fn handle(&mut self, now: PlannerTime, input: LeaderInput) {
        match input {
            LeaderInput::Appended(number, result) => self.handle_append(now, number, result),
            _ if self.phase != LeaderPhase::Leading => {}
            LeaderInput::Start(worker, task, run, reply) => {
                self.planner.start_answered(now, &worker, task, run, reply);
            }
            LeaderInput::Stop(worker, reply) => self.planner.stop_answered(now, &worker, reply),
            LeaderInput::Listed(listings) => {
                self.listed.clone_from(&listings);
                self.planner.replace_workers(now, listings);
            }
            LeaderInput::Renew(worker, sent, outcome) => match outcome {
                RenewOutcome::Answered(reply) => {
                    self.planner.renewal_answered(now, &worker, sent, reply);
                }
                RenewOutcome::OtherWorker => self.planner.renewal_failed(now, &worker, sent, true),
                RenewOutcome::Fenced if self.planner.is_newest_token(&worker, sent) => {
                    self.phase = LeaderPhase::Ended;
                }
                RenewOutcome::Fenced | RenewOutcome::Failed => {
                    self.planner.renewal_failed(now, &worker, sent, false);
                }
            },
        }
    }

    /// Begins to resign.
    pub fn resign(&mut self, now: PlannerTime) {
        self.planner.hand_over(now);
        self.phase = LeaderPhase::Resigning;
        self.resigned_at = now.point;
    }

    /// Ends a leader that resigns, once its last batch is stored or takes too long, and returns the
    /// batch to send.
    pub fn take_resigning_batch(&mut self, now: PlannerTime) -> Option<StoreBatch> {
        let is_late = now.point.since(self.resigned_at) > FINAL_BATCH_TIMEOUT;
        if self.in_flight.is_some() && !is_late {
            return None;
        }
        let batch = if self.has_final_batch || is_late {
            None
        } else {
            self.planner.take_final_batch(now)
        };
        self.has_final_batch = true;
        if batch.is_none() {
            self.phase = LeaderPhase::Ended;
        }
        batch
    }

    fn handle_append(&mut self, now: PlannerTime, number: u64, result: AppendResult) {
        if self
            .in_flight
            .as_ref()
            .is_none_or(|batch| batch.number != number)
            || self.phase == LeaderPhase::Ended
        {
            return;
        }
        self.in_flight = None;
        self.unanswered_since = None;
        let is_stored = result == AppendResult::Stored;
        self.monitor.append_answered(now.point, is_stored);
        match result {
            AppendResult::Stored => self.planner.batch_stored(now, number),
            AppendResult::Fenced => self.phase = LeaderPhase::Ended,
        }
    }
}
