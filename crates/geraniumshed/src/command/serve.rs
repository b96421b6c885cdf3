//! `geraniumshed serve`.

use flexi_logger::{LogSpecification, Logger, json_format};
use geraniumshed_site::{ProcessSettings, serve};
use gumdrop::Options;

use crate::output::ExitStatus;

/// The level of the log.
const LOG_LEVEL: &str = "info, tarpc=warn";

/// The options of `geraniumshed serve`.
#[derive(Debug, Options)]
pub struct ServeArguments {
    #[options(help = "print this help")]
    help: bool,
}

/// Runs the command.
pub fn execute(_: ServeArguments) -> ExitStatus {
    let settings = match ProcessSettings::open() {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitStatus::Invalid;
        }
    };
    let level = LogSpecification::parse(LOG_LEVEL).unwrap_or_else(|_| LogSpecification::info());
    let logger = Logger::with(level).log_to_stdout().format(json_format);
    let _log = match logger.start() {
        Ok(log) => log,
        Err(error) => {
            eprintln!("error: the log can't be opened: {error}");
            return ExitStatus::Failure;
        }
    };
    match run(settings) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            log::error!("{error}");
            ExitStatus::Failure
        }
    }
}

/// Serves on one thread, since an entry VM has a part of one core.
#[tokio::main(flavor = "current_thread")]
async fn run(settings: ProcessSettings) -> Result<(), geraniumshed_site::ServeError> {
    serve(settings).await
}
