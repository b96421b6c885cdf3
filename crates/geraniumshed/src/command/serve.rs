//! `geraniumshed serve`.

use std::net::SocketAddr;

use geraniumshed_site::{ProcessSettings, serve};
use gumdrop::Options;

use crate::logging::LogHandle;
use crate::output::ExitStatus;

/// The log level.
const LOG_LEVEL: &str = "info, tarpc=warn";

/// The options of `geraniumshed serve`.
#[derive(Debug, Options)]
pub struct ServeArguments {
    #[options(help = "print this help")]
    help: bool,

    #[options(
        help = "port on which `/metrics` is served (default: not served)",
        meta = "PORT",
        no_short
    )]
    metrics_port: Option<u16>,
}

/// Runs the command.
pub fn execute(arguments: ServeArguments) -> ExitStatus {
    let settings = match ProcessSettings::open() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Invalid;
        }
    };
    let _log = match LogHandle::open_bounded(LOG_LEVEL) {
        Ok(log) => log,
        Err(error) => {
            eprintln!("error: the log can't be opened: {error}");
            return ExitStatus::Failure;
        }
    };
    let metrics = arguments
        .metrics_port
        .map(|port| SocketAddr::new(settings.ip, port));
    match run(settings, metrics) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            log::error!(error:% = error; "the process has failed");
            ExitStatus::Failure
        }
    }
}

/// Serves on one thread, since an entry VM has only a fraction of one core.
#[tokio::main(flavor = "current_thread")]
async fn run(
    settings: ProcessSettings,
    metrics: Option<SocketAddr>,
) -> Result<(), geraniumshed_site::ServeError> {
    serve(settings, metrics).await
}
