//! `geraniumshed dev`.

use std::io::{self, Write};

use geraniumshed_daemon::settings::TelemetrySettings;
use geraniumshed_standin::truth::PromiseReport;
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
    #[options(no_short, help = "run all work once, print what was counted, and exit")]
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
        help = "sizes: small, camara or yildiz",
        default = "small",
        meta = "NAME"
    )]
    profile: String,
    #[options(no_short, help = "print JSON in place of tables")]
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

/// Opens the cluster, and either does all work once or stays up until it is told to stop.
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
    let stopped = tokio::signal::ctrl_c().await;
    stopped.map_err(DevError::Standin)?;
    Ok(ExitStatus::Done)
}

/// Prints what was found; only promises that were tried and held count as done.
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

/// Prints where the cluster can be reached, all at once; it stays up without anybody to read that.
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
