//! `geraniumshed standin`.

use std::fmt::{self, Display, Formatter};
use std::fs;
use std::io;
use std::sync::Arc;

use geraniumshed_standin::set::ControlServer;
use geraniumshed_standin::{StandinSet, StandinSettings};
use gumdrop::Options;
use tokio::signal::unix::{SignalKind, signal};

use crate::output::ExitStatus;

/// The options of `geraniumshed standin`.
#[derive(Debug, Options)]
pub struct StandinArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "settings file (default: built-in settings)", meta = "FILE")]
    settings: Option<String>,
}

/// An error that prevents the stand-ins from running.
#[derive(Debug)]
enum StandinError {
    /// The settings can't be read or are invalid.
    Settings {
        /// The path of the settings file.
        path: String,
        /// The problem with the file or its content.
        reason: String,
    },
    /// A listener can't be bound, or a signal handler can't be installed.
    Socket(io::Error),
}

impl Display for StandinError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Settings { path, reason } => write!(
                f,
                "the settings in `{path}` can't be used: {reason} (hint: see docs/STANDIN.md)"
            ),
            Self::Socket(error) => write!(f, "the stand-ins can't start: {error}"),
        }
    }
}

/// Runs the command.
pub fn execute(arguments: StandinArguments) -> ExitStatus {
    let settings = match read_settings(arguments.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Invalid;
        }
    };
    match run(settings) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            eprintln!("error: {error}");
            ExitStatus::Failure
        }
    }
}

/// Reads the settings, or returns the defaults if no file is named.
fn read_settings(path: Option<String>) -> Result<StandinSettings, StandinError> {
    let Some(path) = path else {
        return Ok(StandinSettings::default());
    };
    let invalid = |reason: String| StandinError::Settings {
        path: path.clone(),
        reason,
    };
    let text = fs::read_to_string(&path).map_err(|error| invalid(error.to_string()))?;
    serde_saphyr::from_str(&text).map_err(|error| invalid(error.to_string()))
}

/// Runs the stand-ins until SIGTERM or SIGINT.
#[tokio::main]
async fn run(settings: StandinSettings) -> Result<(), StandinError> {
    // Installed before anything is printed, since a reader of the output may signal the process
    // at once.
    let mut terminate = signal(SignalKind::terminate()).map_err(StandinError::Socket)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StandinError::Socket)?;
    let set = Arc::new(StandinSet::open(settings).map_err(StandinError::Socket)?);
    let control = ControlServer::bind(Arc::clone(&set)).map_err(StandinError::Socket)?;
    println!("log      {}", set.log_address());
    println!("vm list  {}", set.vm_list_address());
    println!("control  {}", control.address());
    println!("workers  {}", set.worker_ids().count());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
