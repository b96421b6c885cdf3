//! `geraniumshed dev`.

use std::io::{self, Write};

use geraniumshed_daemon::settings::TelemetrySettings;
use geraniumshed_standin::history::PromiseReport;
use gumdrop::Options;
use smol_str::SmolStr;

use crate::dev::{DevCluster, DevError, DevProfile, run_once};
use crate::logging::LogHandle;
use crate::output::ExitStatus;

/// The options of `geraniumshed dev`.
#[derive(Debug, Options)]
pub struct DevArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "run all example work once, print a report, and exit")]
    once: bool,
    #[options(
        no_short,
        help = "seed of all random choices",
        default = "1",
        meta = "N"
    )]
    seed: u64,
    #[options(
        no_short,
        help = "cluster size: small, camara or yildiz",
        default = "small",
        meta = "NAME"
    )]
    profile: String,
    #[options(no_short, help = "print JSON instead of tables")]
    json: bool,
}

/// Runs the command.
pub fn execute(arguments: DevArguments) -> ExitStatus {
    let profile = match arguments.profile.parse() {
        Ok(profile) => profile,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Usage;
        }
    };
    let telemetry = TelemetrySettings {
        log_level: SmolStr::new_static("warn"),
        ..TelemetrySettings::default()
    };
    let log = match LogHandle::open(&telemetry) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Failure;
        }
    };
    match run(&arguments, profile, log) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("error: {error}");
            ExitStatus::Failure
        }
    }
}

/// Opens the cluster, and either runs all example work once or serves until Ctrl-C.
#[tokio::main]
async fn run(
    arguments: &DevArguments,
    profile: DevProfile,
    log: LogHandle,
) -> Result<ExitStatus, DevError> {
    let mut cluster = DevCluster::open(profile, arguments.seed, log).await?;
    if arguments.once {
        let report = run_once(&mut cluster, profile).await?;
        return Ok(print_report(&report, arguments.json));
    }
    print_addresses(&cluster);
    let interrupted = tokio::signal::ctrl_c().await;
    interrupted.map_err(DevError::Standin)?;
    Ok(ExitStatus::Done)
}

/// Prints the report; the exit status is `Done` only if every promise was tested and held.
fn print_report(report: &PromiseReport, json: bool) -> ExitStatus {
    if json {
        let text = serde_json::to_string_pretty(report);
        println!("{}", text.unwrap_or_default());
    } else {
        print!("{report}");
    }
    if report.held() && report.counted() {
        ExitStatus::Done
    } else {
        ExitStatus::Failure
    }
}

/// Prints the addresses of the cluster in one write. A failed write is only logged, so that the
/// cluster keeps running if its standard output is closed.
fn print_addresses(cluster: &DevCluster) {
    let mut lines = Vec::new();
    for daemon in &cluster.daemons {
        let handle = &daemon.handle;
        let id = &handle.identity().daemon;
        lines.push(format!(
            "{id}  callers    http://{}",
            handle.entry_address()
        ));
        lines.push(format!(
            "{id}  operators  http://{}",
            handle.operator_address()
        ));
    }
    let control = cluster.control_address();
    lines.push(format!("stand-ins  control    http://{control}"));
    let entry = cluster.entry_addresses()[0];
    lines.push(format!(
        "try: curl -X POST http://{entry}/services/bookings/try"
    ));
    lines.push("(publish examples/camara.yaml first; Ctrl-C stops)\n".to_owned());
    let text = lines.join("\n");
    if let Err(error) = io::stdout().write_all(text.as_bytes()) {
        log::warn!(error:% = error; "nobody reads the cluster's addresses");
    }
}
