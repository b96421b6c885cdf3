//! The command line, the operators' client, the benchmarks and the development cluster.
//!
//! The binary itself only calls [`command::run_command`].

pub mod bench;
pub mod client;
pub mod command;
pub mod dev;
pub mod explain;
pub mod logging;
pub mod output;
