//! The ideal to compare with: one queue before all healthy slots, with full knowledge.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use super::profile::{LOCAL_DELAY, LoadProfile, LoadRequest};

/// Returns the callers' latencies if one queue fed all slots, in the order of the requests.
///
/// The slots of `slow` endpoints are left out. Ways cost what they cost within one availability
/// zone, as the ideal always finds a slot next door.
pub fn ideal_latencies(
    profile: &LoadProfile,
    requests: &[LoadRequest],
    slow: usize,
) -> Vec<Duration> {
    let slots = (profile.endpoints - slow) * profile.slots as usize;
    let mut idle_from: BinaryHeap<Reverse<Duration>> =
        std::iter::repeat_n(Reverse(Duration::ZERO), slots).collect();
    let way = profile.caller_delay + LOCAL_DELAY;
    requests
        .iter()
        .map(|request| {
            let arrives = request.sent + way;
            let Reverse(idle) = idle_from.pop().unwrap_or(Reverse(Duration::ZERO));
            let done = arrives.max(idle) + request.service;
            idle_from.push(Reverse(done));
            (done + way).saturating_sub(request.sent)
        })
        .collect()
}
