//! Benchmarks, run by `geraniumshed bench NAME`.

pub mod capacity;
pub mod overhead;
pub mod request;
pub mod schedule;

use crate::output::ExitStatus;

/// A benchmark that the command line can run.
#[derive(Debug, Clone, Copy)]
pub struct BenchEntry {
    /// The name by which the command line runs it.
    pub name: &'static str,
    /// What it measures, in one line.
    pub summary: &'static str,
    /// Runs it with the arguments after its name.
    pub run: fn(&[String]) -> ExitStatus,
}

/// All benchmarks.
pub const BENCHES: &[BenchEntry] = &[
    BenchEntry {
        name: "request",
        summary: "dispatch policy against baselines and an ideal queue (decisions only, no sockets)",
        run: request::run_command,
    },
    BenchEntry {
        name: "schedule",
        summary: "placement under hidden interference against baselines (decisions only, no sockets)",
        run: schedule::run_command,
    },
    BenchEntry {
        name: "capacity",
        summary: "costs of control at small sizes, and extrapolated (see scripts/capacity.sh)",
        run: capacity::run_command,
    },
    BenchEntry {
        name: "overhead",
        summary: "what the daemon adds to a request on loopback, over real TCP",
        run: overhead::run_overhead,
    },
];
