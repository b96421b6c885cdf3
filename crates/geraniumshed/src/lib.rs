//! The command line, the client for operators, the benchmarks and the wiring of the daemon.
//!
//! The binary only calls [`command::run_command`].

pub mod bench;
pub mod client;
pub mod command;
pub mod dev;
pub mod explain;
pub mod logging;
pub mod output;
