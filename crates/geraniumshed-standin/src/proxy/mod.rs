//! A TCP proxy that injects faults into connections.

mod connection;
mod plan;
mod server;

pub use self::plan::{ProxyDirection, ProxyMode, ProxyPlan};
pub use self::server::FaultProxy;
