//! What a dispatcher is told about its service and its daemon.

use std::time::Duration;

use geraniumshed_model::prelude::ZoneName;

/// How endpoints are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub enum RouteRule {
    /// By this daemon's own slots first, then by power of two choices over the others'.
    #[default]
    Planned,
    /// By power of two choices over the daemon's own in-flight requests per slot.
    TwoChoices,
    /// At random, without limits or circuit breakers, to compare with.
    Random,
    /// One after the other, without limits or circuit breakers, to compare with.
    RoundRobin,
    /// The fewest of the daemon's own requests in flight per slot, to compare with.
    LeastInFlight,
}

/// The settings of one service's dispatcher.
#[derive(Debug, Clone, PartialEq)]
pub struct DispatchPolicy {
    /// How endpoints are chosen.
    pub rule: RouteRule,
    /// Whether requests that can't be served in time are refused at arrival.
    pub shedding: bool,
    /// The extra attempts after failures, as a share of the traffic.
    pub retry_share: f64,
    /// The extra attempts beside slow ones, as a share of the traffic.
    pub hedge_share: f64,
    /// The attempts that one request may have.
    pub attempt_limit: usize,
    /// The requests that may wait.
    pub queue_limit: usize,
    /// The latency that the service should stay below.
    pub latency_goal: Duration,
    /// The availability zone of the daemon.
    pub zone: ZoneName,
    /// The round trip to another availability zone.
    pub zone_distance: Duration,
}

impl DispatchPolicy {
    /// Creates the policy of a service as seen from an availability zone.
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
