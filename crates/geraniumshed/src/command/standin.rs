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
    #[options(help = "file of the settings", meta = "FILE")]
    settings: Option<String>,
}

/// Why the stand-ins can't run.
#[derive(Debug)]
enum StandinError {
    /// The settings can't be read.
    Settings {
        /// The file.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// A port can't be taken.
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

/// Reads the settings, which are all at their defaults without a file.
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

/// Runs the stand-ins until the process is told to stop.
#[tokio::main]
async fn run(settings: StandinSettings) -> Result<(), StandinError> {
    // Before anything is printed, so that who reads it may stop the process at once.
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
