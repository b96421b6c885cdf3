//! `geraniumshed run`.

use std::env;
use std::path::Path;

use geraniumshed_daemon::node::Daemon;
use geraniumshed_daemon::settings::{DaemonSettings, open_settings};
use geraniumshed_daemon::telemetry::TraceHandle;
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

use crate::logging::LogHandle;
use crate::output::ExitStatus;

/// The options of `geraniumshed run`.
#[derive(Debug, Options)]
pub struct RunArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file", meta = "FILE")]
    settings: Option<String>,
}

/// Runs the command.
pub fn execute(arguments: RunArguments) -> ExitStatus {
    let Some(path) = arguments.settings else {
        eprintln!("error: no settings file is named (hint: geraniumshed run --settings FILE)");
        return ExitStatus::Usage;
    };
    let settings = match open_settings(Path::new(&path), env::vars()) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: the settings in `{path}` can't be used:\n{error}");
            return ExitStatus::Invalid;
        }
    };
    let log = match LogHandle::open(&settings.telemetry) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Invalid;
        }
    };
    match run(settings, log) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            eprintln!("error: {error}");
            ExitStatus::Failure
        }
    }
}

/// Runs the daemon until SIGTERM or SIGINT, and then stops it gracefully.
#[tokio::main]
async fn run(settings: DaemonSettings, log: LogHandle) -> Result<(), Box<dyn std::error::Error>> {
    // Installed before anything is printed, since a reader of the output may signal the process
    // at once.
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let traces = TraceHandle::open(&settings.telemetry, &settings.identity)?;
    let daemon = Daemon::spawn(settings, log).await?;
    println!("callers    {}", daemon.entry_address());
    println!("operators  {}", daemon.operator_address());
    println!("peers      {}", daemon.identity().address);
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    log::info!("stopping: finishing the requests in flight");
    daemon.drain().await;
    if let Some(traces) = traces {
        tokio::task::spawn_blocking(|| traces.close()).await?;
    }
    log::info!("stopped");
    Ok(())
}
