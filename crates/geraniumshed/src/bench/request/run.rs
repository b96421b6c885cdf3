//! The command `bench request`.

use std::fmt::{self, Display, Formatter};
use std::path::Path;
use std::time::Duration;

use gumdrop::Options;

use super::ideal::ideal_latencies;
use super::model::{ModelOptions, run_model};
use super::plot::plot_latencies;
use super::policies::all_policies;
use super::profile::{LoadProfile, LoadRequest};
use super::summary::{RunSummary, table_heading, table_line};
use crate::output::ExitStatus;

/// The loads, as fractions of the slots' capacity.
const LOADS: [f64; 4] = [0.5, 0.8, 0.95, 1.2];

/// The load of the runs with one slow endpoint, as a fraction of the slots' capacity.
const SLOW_LOAD: f64 = 0.8;

/// The options of `bench request`.
#[derive(Debug, Clone, Options)]
pub struct RequestBenchOptions {
    /// Whether to show the help.
    #[options(help = "show this help")]
    pub help: bool,
    /// The name of the profile.
    #[options(help = "camara or yildiz", default = "camara")]
    pub profile: String,
    /// The simulated length of each run, in seconds.
    #[options(help = "simulated seconds of each run", default = "60")]
    pub seconds: u64,
    /// The seed of all random choices.
    #[options(help = "seed of arrivals, service times and choices", default = "1")]
    pub seed: u64,
    /// The folder for the JSON file and the plot.
    #[options(help = "folder for the JSON file and the plot")]
    pub out: Option<String>,
}

/// An error of the benchmark.
#[derive(Debug)]
pub enum BenchError {
    /// There is no profile of this name.
    UnknownProfile(String),
    /// The results can't be written.
    Output(String),
}

impl Display for BenchError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::UnknownProfile(name) => {
                write!(f, "`{name}` is not a profile: use camara or yildiz")
            }
            Self::Output(reason) => write!(f, "the results can't be written: {reason}"),
        }
    }
}

impl std::error::Error for BenchError {}

/// Runs the command with the arguments after its name.
pub fn run_command(arguments: &[String]) -> ExitStatus {
    let options = match RequestBenchOptions::parse_args_default(arguments) {
        Ok(options) => options,
        Err(error) => {
            eprintln!("error: {error}\n\n{}", RequestBenchOptions::usage());
            return ExitStatus::Usage;
        }
    };
    if options.help {
        println!("{}", RequestBenchOptions::usage());
        return ExitStatus::Done;
    }
    match run(&options) {
        Ok(_) => ExitStatus::Done,
        Err(error @ BenchError::UnknownProfile(_)) => {
            eprintln!("error: {error}");
            ExitStatus::Usage
        }
        Err(error @ BenchError::Output(_)) => {
            eprintln!("error: {error}");
            ExitStatus::Failure
        }
    }
}

/// Runs all policies under all loads, prints their results and returns them.
///
/// # Errors
///
/// Returns [`BenchError`] if the profile is unknown or the results can't be written.
pub fn run(options: &RequestBenchOptions) -> Result<Vec<RunSummary>, BenchError> {
    let profile = LoadProfile::by_name(&options.profile)
        .ok_or_else(|| BenchError::UnknownProfile(options.profile.clone()))?;
    let length = Duration::from_secs(options.seconds);
    let mut summaries = Vec::new();
    println!("{}", table_heading());
    for load in LOADS {
        let requests = profile.draw(load, length, options.seed);
        compare(
            &profile,
            "",
            load,
            length,
            &requests,
            0,
            options.seed,
            &mut summaries,
        );
    }
    let requests = profile.draw(SLOW_LOAD, length, options.seed);
    let suffix = " +slow";
    compare(
        &profile,
        suffix,
        SLOW_LOAD,
        length,
        &requests,
        1,
        options.seed,
        &mut summaries,
    );
    if let Some(folder) = &options.out {
        write_results(Path::new(folder), &profile, &summaries)?;
    }
    Ok(summaries)
}

/// Runs the ideal queue and all policies with the same requests.
#[expect(
    clippy::too_many_arguments,
    reason = "one call site for each part of the table"
)]
fn compare(
    profile: &LoadProfile,
    suffix: &str,
    load: f64,
    length: Duration,
    requests: &[LoadRequest],
    slow_endpoints: usize,
    seed: u64,
    summaries: &mut Vec<RunSummary>,
) {
    let ideal = ideal_latencies(profile, requests, slow_endpoints);
    let name = format!("ideal{suffix}");
    add_summary(
        RunSummary::of_latencies(profile, &name, load, length, &ideal),
        summaries,
    );
    for (name, options) in all_policies() {
        let options = ModelOptions {
            slow_endpoints,
            ..options
        };
        let report = run_model(profile, requests, options, seed);
        let name = format!("{name}{suffix}");
        add_summary(
            RunSummary::of_model(profile, &name, load, length, &report),
            summaries,
        );
    }
}

fn add_summary(summary: RunSummary, summaries: &mut Vec<RunSummary>) {
    println!("{}", table_line(&summary));
    summaries.push(summary);
}

fn write_results(
    folder: &Path,
    profile: &LoadProfile,
    summaries: &[RunSummary],
) -> Result<(), BenchError> {
    let failed = |error: &dyn Display| BenchError::Output(error.to_string());
    std::fs::create_dir_all(folder).map_err(|error| failed(&error))?;
    let json = serde_json::to_string_pretty(summaries).map_err(|error| failed(&error))?;
    let file = folder.join(format!("request-{}.json", profile.name));
    std::fs::write(file, json).map_err(|error| failed(&error))?;
    let plot = folder.join(format!("request-{}.svg", profile.name));
    plot_latencies(&plot, summaries).map_err(|error| failed(&error))
}
