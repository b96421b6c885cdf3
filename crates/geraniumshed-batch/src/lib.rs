//! Batch jobs on the platform.
//!
//! Each daemon runs a [`BatchNode`]. All nodes accept jobs from clients and store them; one of
//! them, the leader, runs the planner that places tasks on workers. Nodes access the platform
//! through the traits in [`store`] and [`site`], so that tests can replace it.

mod admission;
mod cancel;
pub mod clock;
mod config;
pub mod courier;
mod forecast;
mod handler;
mod intake;
pub mod leader;
pub mod member;
pub mod net;
pub mod node;
pub mod peer;
pub mod service;
pub mod site;
pub mod store;
mod store_health;
mod store_monitor;
pub mod telemetry;
pub mod topic;
pub mod wire;

pub use node::{BatchNode, DEFAULT_COURIER_DENSITY, NodeSettings};
pub use service::{CallOutcome, JobService};
pub use telemetry::NodeMetrics;
