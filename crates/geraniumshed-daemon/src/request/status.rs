//! The request path's counters.

use std::sync::atomic::{AtomicU64, Ordering};

use geraniumshed_gate::{ClientGate, RefusalCause};
use geraniumshed_model::prelude::RunOutcome;

/// The causes for which the process has no room.
const NO_ROOM: [RefusalCause; 3] = [
    RefusalCause::Connections,
    RefusalCause::Memory,
    RefusalCause::Shed,
];
/// The causes of connections that make no progress, except those without a request.
const NO_PROGRESS: [RefusalCause; 3] = [
    RefusalCause::SlowHeader,
    RefusalCause::SlowBody,
    RefusalCause::SlowReader,
];

/// The live counters of the request path, which count from the start of the process.
#[derive(Debug, Default)]
pub struct EntryCounters {
    /// Requests from callers.
    pub received: AtomicU64,
    /// Requests that peers forwarded to this daemon.
    pub forwarded_in: AtomicU64,
    /// Requests that this daemon forwarded to peers.
    pub forwarded_out: AtomicU64,
    /// Answers with the outcome that the request ran.
    pub ran: AtomicU64,
    /// Answers with the outcome that the request did not run.
    pub not_run: AtomicU64,
    /// Answers with an unknown outcome: the request may or may not have run.
    pub unknown: AtomicU64,
    /// Attempts at endpoints.
    pub attempts: AtomicU64,
    /// Stored answers that were replayed.
    pub replayed: AtomicU64,
    /// Connection pools that were replaced after a stall, a timeout or a lost connection.
    pub pools_replaced: AtomicU64,
    /// Requests whose callers disconnected before the dispatch.
    pub hung_up: AtomicU64,
    /// Open connections from callers.
    pub connections: AtomicU64,
    /// Requests that are waiting or in flight.
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

/// Increments a counter.
pub fn add_one(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

/// Decrements a counter.
pub fn subtract_one(counter: &AtomicU64) {
    counter.fetch_sub(1, Ordering::Relaxed);
}

/// A snapshot of the request path's counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EntryStatus {
    /// Requests from callers.
    pub received: u64,
    /// Requests that peers forwarded to this daemon.
    pub forwarded_in: u64,
    /// Requests that this daemon forwarded to peers.
    pub forwarded_out: u64,
    /// Answers with the outcome that the request ran.
    pub ran: u64,
    /// Answers with the outcome that the request did not run.
    pub not_run: u64,
    /// Answers with an unknown outcome: the request may or may not have run.
    pub unknown: u64,
    /// Attempts at endpoints.
    pub attempts: u64,
    /// Stored answers that were replayed.
    pub replayed: u64,
    /// Connection pools that were replaced after a stall, a timeout or a lost connection.
    pub pools_replaced: u64,
    /// Requests whose callers disconnected before the dispatch.
    pub hung_up: u64,
    /// Connections that were closed since the process had no room for them.
    pub refused: u64,
    /// Connections that were closed since they made no progress.
    pub too_slow: u64,
    /// The memory that requests which are not answered yet hold, in bytes.
    pub held_bytes: u64,
    /// Open connections from callers.
    pub connections: u64,
    /// Requests that are waiting or in flight.
    pub active: u64,
    /// Whether a planned stop has begun.
    pub draining: bool,
}

impl EntryStatus {
    /// Reads all counters, and those of the callers' gate.
    pub fn read(counters: &EntryCounters, gate: &ClientGate, draining: bool) -> Self {
        let get = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        let sum = |causes: &[RefusalCause]| {
            let counts = causes.iter().map(|cause| gate.refusals(*cause));
            counts.sum()
        };
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
            refused: sum(&NO_ROOM),
            too_slow: sum(&NO_PROGRESS),
            held_bytes: gate.held() as u64,
            connections: get(&counters.connections),
            active: get(&counters.active),
            draining,
        }
    }
}
