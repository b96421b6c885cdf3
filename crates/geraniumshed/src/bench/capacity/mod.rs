//! `bench capacity`: the cost of the control plane, measured at small sizes and extrapolated.
//!
//! `scripts/capacity.sh` starts the stand-ins and some daemons as processes and runs
//! `bench capacity snapshot` before and after each phase of its load, which appends a line to a
//! file. `bench capacity fit` then fits unit costs and slopes to that file and computes the cost of
//! a daemon at the current cluster sizes and at the target size.

pub mod cost_model;
pub mod process;
pub mod report;
pub mod snapshot;

use gumdrop::Options;

use crate::output::ExitStatus;

pub use self::cost_model::{CostModel, LinearFit, PlaneFit, fit_costs};
pub use self::snapshot::CapacitySnapshot;

/// The options of `bench capacity`.
#[derive(Debug, Options)]
struct CapacityArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<CapacityCommand>,
}

/// The subcommands of `bench capacity`.
#[derive(Debug, Options)]
enum CapacityCommand {
    #[options(help = "append the current counters of a running cluster to a file")]
    Snapshot(snapshot::SnapshotArguments),
    #[options(help = "fit costs to the snapshots in a file and extrapolate")]
    Fit(report::FitArguments),
}

/// Runs the benchmark with the arguments after its name.
pub fn run_command(words: &[String]) -> ExitStatus {
    let arguments = match CapacityArguments::parse_args_default(words) {
        Ok(arguments) => arguments,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Usage;
        }
    };
    let result = match arguments.command {
        Some(CapacityCommand::Snapshot(arguments)) => snapshot::execute(&arguments),
        Some(CapacityCommand::Fit(arguments)) => report::execute(&arguments),
        None => {
            println!("{}", CapacityArguments::usage());
            println!("Commands: snapshot, fit");
            return ExitStatus::Usage;
        }
    };
    match result {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            eprintln!("error: {error}");
            ExitStatus::Failure
        }
    }
}
