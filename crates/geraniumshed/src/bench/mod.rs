//! Benchmarks, run by `geraniumshed bench NAME`.

pub mod capacity;
pub mod jobs;
pub mod overhead;
pub mod request;
pub mod schedule;

use crate::output::ExitStatus;

/// A benchmark that the command line can run.
#[derive(Debug, Clone, Copy)]
pub struct BenchEntry {
    /// The name by which the command line runs it.
    pub name: &'static str,
    /// A one-line summary of what it measures.
    pub summary: &'static str,
    /// Runs it with the command line arguments after its name.
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
        name: "jobs",
        summary: "processor time of the job planner for each start, by part (no sockets)",
        run: jobs::run_command,
    },
    BenchEntry {
        name: "capacity",
        summary: "control-plane cost at small sizes, extrapolated to larger ones (see scripts/capacity.sh)",
        run: capacity::run_command,
    },
    BenchEntry {
        name: "overhead",
        summary: "latency that the daemon adds to a request, over TCP on loopback",
        run: overhead::run_overhead,
    },
];
