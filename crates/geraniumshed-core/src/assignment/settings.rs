//! Settings of the planner.

use std::time::Duration;

/// The durations that the planner works with.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerSettings {
    /// The longest lease that workers grant.
    pub longest_lease: Duration,
    /// The lease that calls to workers ask for.
    pub lease: Duration,
    /// The lease that calls ask for while a takeover would take long, capped at the longest lease.
    pub prolonged_lease: Duration,
    /// How long a worker may hold a renewal back until one of its runs ends.
    pub renewal_wait: Duration,
    /// The same for a worker whose runs have a latency target.
    pub latency_renewal_wait: Duration,
    /// The longest delay of a renewal while ends of runs wait to be stored.
    pub unstored_renewal_delay: Duration,
    /// The delay before a failed renewal is repeated.
    pub renewal_retry: Duration,
    /// The delay before a stop that had no effect is repeated.
    pub stop_retry: Duration,
    /// The time without progress after which a run counts as stalled, in addition to a share of its
    /// estimate.
    pub stall_limit: Duration,
    /// How long an ended job is kept.
    pub job_retention: Duration,
    /// The factor by which tasks take longer away from the rack of their data, or on several racks if
    /// they ask for one. With 1, no task waits for a place in a rack.
    pub remote_run_factor: f64,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            longest_lease: Duration::from_secs(6),
            lease: Duration::from_millis(4500),
            prolonged_lease: Duration::from_secs(6),
            renewal_wait: Duration::from_secs(1),
            latency_renewal_wait: Duration::from_millis(350),
            unstored_renewal_delay: Duration::from_millis(400),
            renewal_retry: Duration::from_millis(150),
            stop_retry: Duration::from_millis(400),
            stall_limit: Duration::from_millis(1800),
            job_retention: Duration::from_mins(4),
            remote_run_factor: 1.0,
        }
    }
}
