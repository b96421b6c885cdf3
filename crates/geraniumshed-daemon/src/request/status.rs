//! Counters of the request path.

use std::sync::atomic::{AtomicU64, Ordering};

use geraniumshed_model::prelude::RunOutcome;

/// Counters that the request path keeps up; each counts since the start of the process.
#[derive(Debug, Default)]
pub struct EntryCounters {
    /// Requests that callers sent.
    pub received: AtomicU64,
    /// Requests that peers passed on.
    pub forwarded_in: AtomicU64,
    /// Requests that were passed on to peers.
    pub forwarded_out: AtomicU64,
    /// Answers that tell the request ran.
    pub ran: AtomicU64,
    /// Answers that tell the request did not run.
    pub not_run: AtomicU64,
    /// Answers that tell nobody knows.
    pub unknown: AtomicU64,
    /// Attempts at endpoints.
    pub attempts: AtomicU64,
    /// Answers that were replayed.
    pub replayed: AtomicU64,
    /// Pools of connections that were replaced after a stall.
    pub pools_replaced: AtomicU64,
    /// Requests that callers gave up before they were dispatched.
    pub hung_up: AtomicU64,
    /// Open connections of callers.
    pub connections: AtomicU64,
    /// Requests that wait or are in flight.
    pub active: AtomicU64,
}

impl EntryCounters {
    /// Counts an answer by its outcome.
    pub fn count_outcome(&self, outcome: RunOutcome) {
        let counter = match outcome {
            RunOutcome::Ran => &self.ran,
            RunOutcome::NotRun => &self.not_run,
            RunOutcome::Unknown => &self.unknown,
        };
        add_one(counter);
    }
}

/// Adds one to a counter.
pub fn add_one(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Takes one from a counter.
pub fn take_one(counter: &AtomicU64) {
    counter.fetch_sub(1, Ordering::Relaxed);
}

/// A snapshot of the request path's counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EntryStatus {
    /// Requests that callers sent.
    pub received: u64,
    /// Requests that peers passed on.
    pub forwarded_in: u64,
    /// Requests that were passed on to peers.
    pub forwarded_out: u64,
    /// Answers that tell the request ran.
    pub ran: u64,
    /// Answers that tell the request did not run.
    pub not_run: u64,
    /// Answers that tell nobody knows.
    pub unknown: u64,
    /// Attempts at endpoints.
    pub attempts: u64,
    /// Answers that were replayed.
    pub replayed: u64,
    /// Pools of connections that were replaced after a stall.
    pub pools_replaced: u64,
    /// Requests that callers gave up before they were dispatched.
    pub hung_up: u64,
    /// Open connections of callers.
    pub connections: u64,
    /// Requests that wait or are in flight.
    pub active: u64,
    /// Whether a planned stop has begun.
    pub draining: bool,
}

impl EntryStatus {
    /// Reads all counters.
    pub fn read(counters: &EntryCounters, draining: bool) -> Self {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Self {
            received: get(&counters.received),
            forwarded_in: get(&counters.forwarded_in),
            forwarded_out: get(&counters.forwarded_out),
            ran: get(&counters.ran),
            not_run: get(&counters.not_run),
            unknown: get(&counters.unknown),
            attempts: get(&counters.attempts),
            replayed: get(&counters.replayed),
            pools_replaced: get(&counters.pools_replaced),
            hung_up: get(&counters.hung_up),
            connections: get(&counters.connections),
            active: get(&counters.active),
            draining,
        }
    }
}
