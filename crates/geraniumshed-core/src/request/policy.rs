//! The settings of a service's dispatcher.

use std::time::Duration;

use geraniumshed_model::prelude::ZoneName;

/// The rule by which endpoints are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum RouteRule {
    /// The cheapest endpoint with a free slot of this daemon's own, otherwise a borrowed slot by
    /// power of two choices.
    #[default]
    Planned,
    /// Power of two choices among all usable endpoints, by the same costs, whoever owns the slots.
    TwoChoices,
    /// A random endpoint, without limits or circuit breakers; a baseline for benchmarks.
    Random,
    /// One endpoint after the other, without limits or circuit breakers; a baseline for benchmarks.
    RoundRobin,
    /// The endpoint with the fewest requests of this daemon in flight per slot, without limits or
    /// circuit breakers; a baseline for benchmarks.
    LeastInFlight,
}

/// The settings of one service's dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchPolicy {
    /// The rule by which endpoints are chosen.
    pub rule: RouteRule,
    /// Whether requests that probably can't be served in time are refused on arrival.
    pub shedding: bool,
    /// The retries of attempts that may have run, as a share of the received requests.
    pub retry_share: f64,
    /// The hedged attempts (second ones beside slow ones), as a share of the received requests.
    pub hedge_share: f64,
    /// The maximum number of attempts for one request.
    pub attempt_limit: usize,
    /// The maximum number of waiting requests.
    pub queue_limit: usize,
    /// The target latency of the service, which bounds queueing while there is a lasting backlog.
    pub latency_goal: Duration,
    /// The availability zone of the daemon.
    pub zone: ZoneName,
    /// The round-trip time to another availability zone.
    pub zone_distance: Duration,
}

impl DispatchPolicy {
    /// Creates the default policy of a service for a daemon in an availability zone.
    pub fn new(zone: ZoneName, queue_limit: usize, latency_goal: Duration) -> Self {
        Self {
            rule: RouteRule::Planned,
            shedding: true,
            retry_share: 0.1,
            hedge_share: 0.02,
            attempt_limit: 4,
            queue_limit,
            latency_goal,
            zone,
            zone_distance: Duration::from_millis(6),
        }
    }
}
