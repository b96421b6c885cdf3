//! A model of the store: one keyed partition whose writers have epochs.

use std::collections::BTreeMap;

use geraniumshed_core::assignment::{
    InterferenceSnapshot, LeaseSnapshot, StoreBatch, StoreChange, WaitSnapshot,
};
use geraniumshed_core::job::{JobId, JobRequest, StoredJob, TaskCrashes};
use geraniumshed_core::leadership::LeaderTerm;

/// An append that a leader has sent and the store hasn't carried out.
#[derive(Debug, Clone)]
pub struct SentAppend {
    pub term: LeaderTerm,
    pub sequence: u64,
    pub batch: StoreBatch,
    /// Whether the store has checked the epoch when the append arrived.
    pub is_admitted: bool,
}

/// The result of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendResult {
    Stored,
    Fenced,
}

/// The newest record of each key, and the state of the partition's producer.
#[derive(Debug, Clone, Default)]
pub struct StoreModel {
    epoch: u64,
    sequence: u64,
    pub jobs: BTreeMap<JobId, StoredJob>,
    pub crashes: BTreeMap<JobId, Vec<TaskCrashes>>,
    pub leases: Option<(LeaderTerm, LeaseSnapshot)>,
    pub waits: WaitSnapshot,
    pub interference: InterferenceSnapshot,
    /// The requests, which are in a partition of their own without epochs.
    pub requests: BTreeMap<JobId, JobRequest>,
}

impl StoreModel {
    /// Fences all terms before the given one.
    pub fn fence(&mut self, term: LeaderTerm) -> AppendResult {
        if term.0 < self.epoch {
            return AppendResult::Fenced;
        }
        self.epoch = term.0;
        self.sequence = 0;
        AppendResult::Stored
    }

    /// Returns whether an append of a term passes the check of its epoch now.
    pub fn admits(&self, term: LeaderTerm) -> bool {
        term.0 >= self.epoch
    }

    /// Carries out an append.
    pub fn append(&mut self, sent: &SentAppend) -> AppendResult {
        if !sent.is_admitted && !self.admits(sent.term) {
            return AppendResult::Fenced;
        }
        let is_repeat = sent.term.0 == self.epoch && sent.sequence <= self.sequence;
        if is_repeat {
            return AppendResult::Stored;
        }
        if sent.term.0 >= self.epoch {
            self.epoch = sent.term.0;
            self.sequence = sent.sequence;
        }
        for change in &sent.batch.changes {
            self.apply(sent.term, change.clone());
        }
        AppendResult::Stored
    }

    fn apply(&mut self, term: LeaderTerm, change: StoreChange) {
        match change {
            StoreChange::Progress(id, stored) => {
                self.jobs.insert(id, stored);
            }
            StoreChange::Forget(id) => {
                self.jobs.remove(&id);
            }
            StoreChange::Interference(snapshot) => self.interference = snapshot,
            StoreChange::Leases(snapshot) => self.leases = Some((term, snapshot)),
            StoreChange::Waits(snapshot) => self.waits = snapshot,
            StoreChange::Crashes(id, crashes) if crashes.is_empty() => {
                self.crashes.remove(&id);
            }
            // The queues of the model never change.
            StoreChange::Queue(..) | StoreChange::Tracks(_) => {}
            StoreChange::Crashes(id, crashes) => {
                self.crashes.insert(id, crashes);
            }
        }
    }
}
