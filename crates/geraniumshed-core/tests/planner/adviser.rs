//! A modelled adviser, which knows on which workers steps may run.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use geraniumshed_core::job::WorkerId;
use geraniumshed_core::worker::{AdviceReply, AdviceRequest};
use geraniumshed_model::prelude::TimePoint;
use smol_str::{SmolStr, ToSmolStr};

/// The queue whose steps need advice.
pub const ADVISED_QUEUE: &str = "advised";
/// The time that the adviser takes for each call.
pub const DECISION_TIME: Duration = Duration::from_millis(40);
/// The time that it takes for each worker that a call names.
pub const WORKER_TIME: Duration = Duration::from_millis(10);
/// The time for which tickets hold.
const VALIDITY: Duration = Duration::from_millis(900);

/// A modelled adviser, which takes one call at a time.
#[derive(Debug, Default)]
pub struct ModelAdviser {
    /// The workers that may run the steps.
    pub allowed: BTreeSet<WorkerId>,
    /// The starts that were refused for want of a ticket.
    pub refused_starts: usize,
    pub calls: VecDeque<(TimePoint, AdviceRequest)>,
    pub call_count: usize,
    free_at: TimePoint,
}

impl ModelAdviser {
    /// Takes a call, which is answered after those before it.
    pub fn call(&mut self, request: AdviceRequest, now: TimePoint) {
        let count = u32::try_from(request.workers.len()).unwrap_or(u32::MAX);
        let due = now.max(self.free_at) + DECISION_TIME + WORKER_TIME * count;
        self.free_at = due;
        self.calls.push_back((due, request));
    }

    /// Answers a call; a ticket names its worker and the end of its validity.
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

/// Tells whether a ticket holds for a worker.
pub fn is_valid(ticket: Option<&SmolStr>, worker: &WorkerId, now: TimePoint) -> bool {
    let parts = ticket.and_then(|ticket| ticket.split_once(':'));
    parts.is_some_and(|(name, end)| {
        name == worker.0 && end.parse().is_ok_and(|end| now <= TimePoint(end))
    })
}
