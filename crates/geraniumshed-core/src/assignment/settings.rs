//! The planner's settings.

use std::time::Duration;

/// The planner's settings.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerSettings {
    /// The longest lease that workers grant.
    pub longest_lease: Duration,
    /// The lease that orders ask for.
    pub lease: Duration,
    /// The lease that orders ask for while a takeover would take long, within the longest one.
    pub prolonged_lease: Duration,
    /// How long a renewal may wait at a worker for a run to end.
    pub renewal_wait: Duration,
    /// The same for a worker whose runs have a latency target.
    pub watched_renewal_wait: Duration,
    /// The longest pause before a renewal while ends wait to be stored.
    pub storing_renewal_pause: Duration,
    /// The pause before an unanswered renewal is repeated.
    pub renewal_retry: Duration,
    /// The pause before an unanswered stop is repeated.
    pub stop_retry: Duration,
    /// The time without progress after which a run counts as stalled.
    pub stall_limit: Duration,
    /// The time for which an ended job is remembered.
    pub memory: Duration,
}

impl Default for PlannerSettings {
    fn default() -> Self {
        Self {
            longest_lease: Duration::from_secs(6),
            lease: Duration::from_millis(4500),
            prolonged_lease: Duration::from_secs(7),
            renewal_wait: Duration::from_secs(1),
            watched_renewal_wait: Duration::from_millis(350),
            storing_renewal_pause: Duration::from_millis(400),
            renewal_retry: Duration::from_millis(150),
            stop_retry: Duration::from_millis(400),
            stall_limit: Duration::from_millis(1800),
            memory: Duration::from_mins(4),
        }
    }
}
