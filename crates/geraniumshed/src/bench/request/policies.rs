//! The dispatch policies that are compared.

use geraniumshed_core::request::RouteRule;

use super::model::ModelOptions;

/// A policy with its name.
pub type NamedPolicy = (&'static str, ModelOptions);

/// The dispatch policy of the daemon, without faults.
pub const PLANNED: ModelOptions = ModelOptions {
    rule: RouteRule::Planned,
    shedding: true,
    hedging: true,
    slow_endpoints: 0,
    refuse_when_full: false,
    reports_in_flight: true,
};

/// Returns the daemon's policy, its variants and all baselines.
pub fn all_policies() -> Vec<NamedPolicy> {
    let baseline = |rule| ModelOptions {
        rule,
        shedding: false,
        hedging: false,
        ..PLANNED
    };
    vec![
        ("planned", PLANNED),
        (
            "planned, refusing",
            ModelOptions {
                refuse_when_full: true,
                ..PLANNED
            },
        ),
        (
            "planned, no reports",
            ModelOptions {
                reports_in_flight: false,
                ..PLANNED
            },
        ),
        (
            "planned, no shedding",
            ModelOptions {
                shedding: false,
                ..PLANNED
            },
        ),
        (
            "planned, no hedging",
            ModelOptions {
                hedging: false,
                ..PLANNED
            },
        ),
        (
            "two choices",
            ModelOptions {
                rule: RouteRule::TwoChoices,
                ..PLANNED
            },
        ),
        ("least in-flight", baseline(RouteRule::LeastInFlight)),
        ("round robin", baseline(RouteRule::RoundRobin)),
        ("random", baseline(RouteRule::Random)),
    ]
}
