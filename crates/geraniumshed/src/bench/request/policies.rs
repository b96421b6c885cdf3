//! The policies that are compared side by side.

use geraniumshed_core::request::RouteRule;

use super::model::ModelOptions;

/// A policy with its name.
pub type NamedPolicy = (&'static str, ModelOptions);

/// Our own policy, without any fault.
pub const OWN: ModelOptions = ModelOptions {
    rule: RouteRule::Planned,
    shedding: true,
    hedging: true,
    slow: 0,
    refuse_when_full: false,
    reports: true,
};

/// Returns our own policy and all baselines.
pub fn all_policies() -> Vec<NamedPolicy> {
    let baseline = |rule| ModelOptions {
        rule,
        shedding: false,
        hedging: false,
        ..OWN
    };
    vec![
        ("planned", OWN),
        (
            "planned, refusing",
            ModelOptions {
                refuse_when_full: true,
                ..OWN
            },
        ),
        (
            "planned, no reports",
            ModelOptions {
                reports: false,
                ..OWN
            },
        ),
        (
            "planned, no shedding",
            ModelOptions {
                shedding: false,
                ..OWN
            },
        ),
        (
            "planned, no hedging",
            ModelOptions {
                hedging: false,
                ..OWN
            },
        ),
        (
            "two choices",
            ModelOptions {
                rule: RouteRule::TwoChoices,
                ..OWN
            },
        ),
        ("least in-flight", baseline(RouteRule::LeastInFlight)),
        ("round robin", baseline(RouteRule::RoundRobin)),
        ("random", baseline(RouteRule::Random)),
    ]
}
