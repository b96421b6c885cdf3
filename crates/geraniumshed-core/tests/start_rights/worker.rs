//! A model of a worker: fencing tokens, leases and numbered ends, which each process has anew.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use geraniumshed_core::job::{JobId, TaskKey, WorkerId};
use geraniumshed_core::worker::{
    EndKind, FenceToken, RenewReply, RenewRequest, RunEnd, RunReport, StartOrder, StartReply,
    WorkerIncarnation, WorkerTime,
};
use geraniumshed_model::prelude::TimePoint;

use crate::checker::ProcessId;

/// The number of ends that a worker lists at a time. It is as low as can be, so that few tasks exceed it.
const LISTED_ENDS: usize = 1;
/// The longest lease that a worker grants.
pub const LONGEST_LEASE: Duration = Duration::from_secs(6);
/// The speed of a worker's clock that is as slow as the platform allows, in percent.
const SLOWEST_CLOCK_PERCENT: u64 = 98;

/// A process of a worker.
#[derive(Debug, Clone)]
pub struct WorkerProcess {
    pub id: WorkerId,
    pub incarnation: WorkerIncarnation,
    started_at: TimePoint,
    /// The longest lease that the worker grants.
    pub longest_lease: Duration,
    /// The speed of the worker's clock, in percent.
    pub clock_percent: u64,
    /// The jobs whose runs are at work from their start on.
    pub long_running: BTreeSet<JobId>,
    /// What the clock showed at the start of the process.
    first_reading: u64,
    pub token: FenceToken,
    deadline: WorkerTime,
    pub runs: BTreeMap<TaskKey, u32>,
    /// The highest run of each task that was stopped or has ended here.
    settled: BTreeMap<TaskKey, u32>,
    pub ended: Vec<RunEnd>,
    next_end: u64,
}

impl WorkerProcess {
    /// Creates a process whose clock shows the given time.
    pub fn new(id: WorkerId, incarnation: u64, now: TimePoint, first_reading: u64) -> Self {
        Self {
            id,
            incarnation: WorkerIncarnation(incarnation),
            started_at: now,
            longest_lease: LONGEST_LEASE,
            clock_percent: SLOWEST_CLOCK_PERCENT,
            long_running: BTreeSet::new(),
            first_reading,
            token: FenceToken(0),
            deadline: WorkerTime(0),
            runs: BTreeMap::new(),
            settled: BTreeMap::new(),
            ended: Vec::new(),
            next_end: 1,
        }
    }

    /// Returns the identity of the process for the checker.
    pub fn process_id(&self) -> ProcessId {
        (self.id.clone(), self.incarnation.0)
    }

    /// Starts a run. Returns whether it is new.
    pub fn start(
        &mut self,
        token: FenceToken,
        order: &StartOrder,
        now: TimePoint,
    ) -> (StartReply, bool) {
        if !self.accept(token) {
            return (StartReply::Fenced, false);
        }
        if order.deadline < self.clock(now) {
            return (StartReply::Late, false);
        }
        self.extend_lease(order.deadline, now);
        if self.runs.get(&order.task) == Some(&order.run) {
            return (StartReply::Started, false);
        }
        let settled = self.settled.get(&order.task);
        if settled.is_some_and(|run| order.run <= *run) {
            return (StartReply::Outdated, false);
        }
        self.runs.insert(order.task, order.run);
        (StartReply::Started, true)
    }

    /// Stops a run, or rejects its start from now on.
    pub fn stop(&mut self, token: FenceToken, task: TaskKey, run: u32) {
        if !self.accept(token) {
            return;
        }
        if self.runs.get(&task) == Some(&run) {
            self.end(task, EndKind::Stopped);
        }
        let settled = self.settled.entry(task).or_default();
        *settled = run.max(*settled);
    }

    /// Renews the lease. Returns the lists and the ends that were acknowledged, or nothing if the
    /// token is too low.
    pub fn renew(
        &mut self,
        token: FenceToken,
        request: &RenewRequest,
        now: TimePoint,
    ) -> Option<(RenewReply, Vec<RunEnd>)> {
        if !self.accept(token) {
            return None;
        }
        if let Some(deadline) = request.deadline {
            self.extend_lease(deadline, now);
        }
        let seen = request.last_stored_end;
        let (acknowledged, kept) = std::mem::take(&mut self.ended)
            .into_iter()
            .partition(|end| end.number <= seen);
        self.ended = kept;
        Some((self.report(now), acknowledged))
    }

    /// Returns the lists of runs and ends.
    pub fn report(&self, now: TimePoint) -> RenewReply {
        // A run whose progress stands still would be stopped.
        let percent = u32::try_from(self.clock(now).0 % 99).unwrap_or_default();
        let running = self.runs.iter().map(|(task, run)| RunReport {
            task: *task,
            run: *run,
            checkpoint: None,
            percent: if self.long_running.contains(&task.job) {
                100
            } else {
                percent
            },
            tail_latency: Duration::ZERO,
        });
        RenewReply {
            clock: self.clock(now),
            incarnation: Some(self.incarnation),
            running: running.collect(),
            ended: self.ended.iter().take(LISTED_ENDS).cloned().collect(),
            has_all_ends: self.ended.len() <= LISTED_ENDS,
        }
    }

    /// Ends a run.
    pub fn end(&mut self, task: TaskKey, kind: EndKind) {
        let Some(run) = self.runs.remove(&task) else {
            return;
        };
        let settled = self.settled.entry(task).or_default();
        *settled = run.max(*settled);
        self.ended.push(RunEnd {
            number: self.next_end,
            task,
            run,
            kind,
            checkpoint: None,
        });
        self.next_end += 1;
    }

    /// Ends all runs if the lease has expired, and returns whether it has.
    pub fn check_lease(&mut self, now: TimePoint) -> bool {
        if self.clock(now) <= self.deadline {
            return false;
        }
        for task in self.runs.keys().copied().collect::<Vec<_>>() {
            self.end(task, EndKind::Lapsed);
        }
        true
    }

    fn clock(&self, now: TimePoint) -> WorkerTime {
        let elapsed = now.since(self.started_at).as_millis();
        let elapsed = u64::try_from(elapsed).unwrap_or_default();
        WorkerTime(self.first_reading + elapsed * self.clock_percent / 100)
    }

    fn extend_lease(&mut self, deadline: WorkerTime, now: TimePoint) {
        let longest = self.clock(now).plus(self.longest_lease);
        self.deadline = self.deadline.max(deadline.min(longest));
    }

    /// Raises the token, or returns false for a lower one.
    fn accept(&mut self, token: FenceToken) -> bool {
        let is_accepted = token >= self.token;
        self.token = self.token.max(token);
        is_accepted
    }
}
