//! Batch jobs on the platform.
//!
//! Each daemon runs a [`BatchNode`]. All nodes take jobs from clients and store them; one of them,
//! the leader, runs the planner that places tasks on workers. What the platform offers is reached
//! through the traits of [`store`] and [`site`], so that the same code runs on the platform and on
//! stand-ins.

mod cancel;
pub mod clock;
mod config;
mod handler;
mod intake;
pub mod leader;
pub mod member;
pub mod net;
pub mod node;
mod pace;
pub mod peer;
pub mod service;
pub mod site;
pub mod store;
pub mod telemetry;
pub mod topic;
pub mod wire;

pub use node::{BatchNode, NodeSettings};
pub use service::{CallOutcome, JobService};
pub use telemetry::NodeMetrics;
