//! The telemetry of a node: counters, latency histograms, and a log line for each planner event.

mod config;
mod dependency;
mod events;
mod metrics;

pub(crate) use config::{ConfigRead, ConfigSource, log_decoded};
pub(crate) use dependency::DependencyWatch;
pub(crate) use events::log_event;
pub use metrics::NodeMetrics;
pub(crate) use metrics::{AdmissionName, CallKind, outcome_name};
