//! `geraniumshed run`.

use gumdrop::Options;

use crate::output::ExitStatus;

/// The options of `geraniumshed run`.
#[derive(Debug, Options)]
pub struct RunArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "file of the settings", meta = "FILE")]
    settings: Option<String>,
}

/// Runs the command.
pub fn execute(arguments: RunArguments) -> ExitStatus {
    eprintln!("error: run is not there yet: {arguments:?}");
    ExitStatus::Failure
}
