//! A simulated adviser, which decides on which workers steps may run.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use geraniumshed_core::job::WorkerId;
use geraniumshed_core::worker::{AdviceReply, AdviceRequest};
use geraniumshed_model::prelude::TimePoint;
use smol_str::{SmolStr, ToSmolStr};

/// The queue whose policy requires advice.
pub const ADVISED_QUEUE: &str = "advised";
/// The time that each call takes, apart from the time per worker.
pub const DECISION_TIME: Duration = Duration::from_millis(40);
/// The time that a call takes per worker that it names.
pub const WORKER_TIME: Duration = Duration::from_millis(10);
/// The time for which tickets are valid.
const VALIDITY: Duration = Duration::from_millis(900);

/// A simulated adviser, which processes one call at a time.
#[derive(Debug, Default)]
pub struct SimulatedAdviser {
    /// The workers that may run the steps.
    pub allowed: BTreeSet<WorkerId>,
    /// The number of starts that were rejected because of a missing or invalid ticket.
    pub refused_starts: usize,
    pub calls: VecDeque<(TimePoint, AdviceRequest)>,
    pub call_count: usize,
    free_at: TimePoint,
}

impl SimulatedAdviser {
    /// Accepts a call. Its reply is due once all earlier calls are processed.
    pub fn call(&mut self, request: AdviceRequest, now: TimePoint) {
        let count = u32::try_from(request.workers.len()).unwrap_or(u32::MAX);
        let due = now.max(self.free_at) + DECISION_TIME + WORKER_TIME * count;
        self.free_at = due;
        self.calls.push_back((due, request));
    }

    /// Creates the reply to a call. A ticket contains its worker and the end of its validity.
    pub fn reply(&mut self, request: &AdviceRequest, now: TimePoint) -> AdviceReply {
        self.call_count += 1;
        let allowed = request
            .workers
            .iter()
            .filter(|one| self.allowed.contains(one));
        let ticket = |worker: &WorkerId| {
            let text = format!("{worker}:{}", (now + VALIDITY).0).to_smolstr();
            (worker.clone(), text)
        };
        AdviceReply {
            tickets: allowed.map(ticket).collect(),
            validity: VALIDITY,
        }
    }
}

/// Returns whether a ticket is valid for a worker.
pub fn is_valid(ticket: Option<&SmolStr>, worker: &WorkerId, now: TimePoint) -> bool {
    let parts = ticket.and_then(|ticket| ticket.split_once(':'));
    parts.is_some_and(|(name, end)| {
        name == worker.0 && end.parse().is_ok_and(|end| now <= TimePoint(end))
    })
}
