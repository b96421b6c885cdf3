//! `bench jobs`: processor time of the job planner for each start, by part, without a network.
//!
//! The planner places jobs on modelled workers, which answer with the delays of a network and a store.
//! The jobs are those of a large deployment: urgent narrow ones, wide best-effort ones and long-running
//! ones with a latency target, at a load that is the same for each number of workers.

mod model;
mod parts;
mod workload;

use std::time::Duration;

use gumdrop::Options;

use self::model::{JobsReport, run_planner};
use self::parts::PlannerPart;
use self::workload::LoadShape;
use crate::output::ExitStatus;

/// The arguments of `bench jobs`.
#[derive(Debug, Options)]
pub struct JobsBenchOptions {
    /// Whether to print the help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The seed of the jobs.
    #[options(help = "seed of the jobs", meta = "N", default = "1")]
    pub seed: u64,
    /// The simulated length of each run, in seconds.
    #[options(help = "simulated seconds of each run", meta = "N", default = "10")]
    pub seconds: u64,
    /// The share of the workers' processors that the jobs request, in percent.
    #[options(
        help = "requested share of the processors, in percent",
        meta = "N",
        default = "75"
    )]
    pub load: u32,
    /// Whether to print the results as JSON.
    #[options(help = "print JSON instead of a table")]
    pub json: bool,
}

/// The numbers of workers and starts per second that are run.
const SIZES: [(usize, u32); 6] = [
    (300, 3_000),
    (1_100, 3_000),
    (3_000, 3_000),
    (300, 10_000),
    (1_100, 10_000),
    (3_000, 10_000),
];

/// Runs the command with the arguments after its name.
pub fn run_command(arguments: &[String]) -> ExitStatus {
    let options = match JobsBenchOptions::parse_args_default(arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("error: {error}\n\n{}", JobsBenchOptions::usage());
            return ExitStatus::Usage;
        }
    };
    if options.help {
        println!("{}", JobsBenchOptions::usage());
        return ExitStatus::Done;
    }
    if !options.json {
        print_header();
    }
    for (workers, starts_per_second) in SIZES {
        let shape = LoadShape {
            workers,
            starts_per_second,
            load_percent: options.load,
        };
        let span = Duration::from_secs(options.seconds);
        let report = run_planner(shape, options.seed, span);
        if options.json {
            println!("{}", report_json(shape, &report));
        } else {
            print_report(shape, &report);
        }
    }
    ExitStatus::Done
}

fn print_header() {
    print!("{:>7} {:>8} {:>8}", "workers", "starts/s", "started");
    for part in PlannerPart::ALL {
        print!(" {:>8}", part.name());
    }
    println!(
        " {:>8} {:>9} {:>10} {:>10}",
        "all", "compared", "urgent p50", "urgent p95"
    );
}

/// Prints the processor time of each part in microseconds per start, the compared workers per start, and
/// the time from submission to the first start of urgent jobs in milliseconds.
fn print_report(shape: LoadShape, report: &JobsReport) {
    print!(
        "{:>7} {:>8} {:>8}",
        shape.workers, shape.starts_per_second, report.starts
    );
    for part in PlannerPart::ALL {
        print!(" {:>8.1}", report.micros_per_start(part));
    }
    println!(
        " {:>8.1} {:>9.1} {:>10} {:>10}",
        report.all_micros_per_start(),
        report.compared_per_start(),
        report.urgent_wait_ms(50.0),
        report.urgent_wait_ms(95.0)
    );
}

fn report_json(shape: LoadShape, report: &JobsReport) -> serde_json::Value {
    let parts = PlannerPart::ALL.map(|part| {
        let micros = report.micros_per_start(part);
        (part.name().to_owned(), serde_json::Value::from(micros))
    });
    serde_json::json!({
        "workers": shape.workers,
        "starts_per_second": shape.starts_per_second,
        "load_percent": shape.load_percent,
        "starts": report.starts,
        "micros_per_start": serde_json::Map::from_iter(parts),
        "all_micros_per_start": report.all_micros_per_start(),
        "compared_workers_per_start": report.compared_per_start(),
        "urgent_wait_p50_ms": report.urgent_wait_ms(50.0),
        "urgent_wait_p95_ms": report.urgent_wait_ms(95.0),
    })
}
