//! The ideal baseline: a single queue for all healthy slots, with complete knowledge.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::profile::{LOCAL_DELAY, LoadProfile, LoadRequest};

/// Returns the callers' latencies if a single queue fed all slots, in the order of the requests.
///
/// Leaves out the slots of `slow_endpoints` endpoints. Network delays are those within one
/// availability zone, since the ideal always finds a slot in the daemon's zone.
pub fn ideal_latencies(
    profile: &LoadProfile,
    requests: &[LoadRequest],
    slow_endpoints: usize,
) -> Vec<Duration> {
    let slots = (profile.endpoints - slow_endpoints) * profile.slots as usize;
    let mut idle_from: BinaryHeap<Reverse<Duration>> =
        std::iter::repeat_n(Reverse(Duration::ZERO), slots).collect();
    let delay = profile.caller_delay + LOCAL_DELAY;
    requests
        .iter()
        .map(|request| {
            let arrival = request.sent + delay;
            let Reverse(idle) = idle_from.pop().unwrap_or(Reverse(Duration::ZERO));
            let done = arrival.max(idle) + request.service;
            idle_from.push(Reverse(done));
            (done + delay).saturating_sub(request.sent)
        })
        .collect()
}
