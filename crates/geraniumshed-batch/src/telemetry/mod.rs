//! The telemetry of a node: counters, latency histograms, and a log line for each planner decision.

mod dependency;
mod metrics;
mod notes;

pub(crate) use dependency::DependencyWatch;
pub use metrics::NodeMetrics;
pub(crate) use metrics::{CallKind, outcome_name};
pub(crate) use notes::log_decision;
