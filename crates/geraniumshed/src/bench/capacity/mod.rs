//! `geraniumshed bench capacity`: what control costs, measured at small sizes and extrapolated.
//!
//! `scripts/capacity.sh` starts the stand-ins and some daemons as processes, and has
//! `bench capacity snapshot` append a line to a file before and after each phase of the work. Then
//! `bench capacity fit` takes the unit costs and slopes from that file and works out each role's
//! costs at the sizes of today and at the target.

pub mod fit;
pub mod process;
pub mod report;
pub mod snapshot;

use gumdrop::Options;

use crate::output::ExitStatus;

pub use self::fit::{CostModel, LinearFit, PlaneFit, fit_costs};
pub use self::snapshot::CapacitySnapshot;

/// The options of `bench capacity`.
#[derive(Debug, Options)]
struct CapacityArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(command)]
    command: Option<CapacityCommand>,
}

/// What `bench capacity` does.
#[derive(Debug, Options)]
enum CapacityCommand {
    #[options(help = "append the present counters of a running cluster to a file")]
    Snapshot(snapshot::SnapshotArguments),
    #[options(help = "fit slopes to the snapshots of a file and extrapolate")]
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
