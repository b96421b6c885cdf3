//! `bench schedule`: placement under hidden interference, compared with baselines.
//!
//! The real scheduler core schedules one shard of simulated workers. Colocated tasks slow each
//! other down by a matrix that is hidden from the scheduler. All policies run with the same matrix,
//! the same records and the same seed.

mod model;
mod run;

use geraniumshed_core::schedule::{PlacementPolicy, ReactionPolicy};
use gumdrop::Options;

use self::run::{PolicyReport, run_policy};
use crate::output::ExitStatus;

/// The arguments of `bench schedule`.
#[derive(Debug, Options)]
pub struct ScheduleBenchOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The seed of the matrix and of the measurement noise.
    #[options(
        help = "seed of the slowdown matrix and the measurement noise",
        meta = "N",
        default = "1"
    )]
    pub seed: u64,
    /// The simulated length of each run, in minutes.
    #[options(help = "simulated minutes of each run", meta = "N", default = "30")]
    pub minutes: u64,
}

/// The policies that are compared.
const POLICIES: [(&str, PlacementPolicy, ReactionPolicy); 4] = [
    ("first-fit", PlacementPolicy::FirstFit, ReactionPolicy::Off),
    (
        "first-fit+evict",
        PlacementPolicy::FirstFit,
        ReactionPolicy::EvictOnBreach,
    ),
    ("scored", PlacementPolicy::Scored, ReactionPolicy::Off),
    (
        "scored+ladder",
        PlacementPolicy::Scored,
        ReactionPolicy::ThrottleThenEvict,
    ),
];

/// Runs the command with the arguments after its name.
pub fn run_command(arguments: &[String]) -> ExitStatus {
    let options = match ScheduleBenchOptions::parse_args_default(arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("error: {error}\n\n{}", ScheduleBenchOptions::usage());
            return ExitStatus::Usage;
        }
    };
    if options.help {
        println!("{}", ScheduleBenchOptions::usage());
        return ExitStatus::Done;
    }
    println!(
        "{:<16} {:>9} {:>9} {:>12} {:>8} {:>9} {:>10} {:>11}",
        "policy",
        "p50/alone",
        "p99/alone",
        "batch cpu·s",
        "of ff",
        "evictions",
        "throttles",
        "starts/s"
    );
    let mut first = None;
    for (name, placement, reaction) in POLICIES {
        let report = run_policy(placement, reaction, options.seed, options.minutes);
        let base = *first.get_or_insert(report.batch_work);
        print_report(name, &report, base);
    }
    ExitStatus::Done
}

fn print_report(name: &str, report: &PolicyReport, base: f64) {
    println!(
        "{name:<16} {:>9.2} {:>9.2} {:>12.0} {:>7.0}% {:>9} {:>10} {:>11.0}",
        report.slowdown_p50,
        report.slowdown_p99,
        report.batch_work,
        report.batch_work / base * 100.0,
        report.counters.evicted,
        report.counters.throttled,
        report.starts_per_second,
    );
}
