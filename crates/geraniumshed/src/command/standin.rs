//! `geraniumshed standin`.

use gumdrop::Options;

use crate::output::ExitStatus;

/// The options of `geraniumshed standin`.
#[derive(Debug, Options)]
pub struct StandinArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(help = "file of the settings", meta = "FILE")]
    settings: Option<String>,
}

/// Runs the command.
pub fn execute(arguments: StandinArguments) -> ExitStatus {
    eprintln!("error: standin is not there yet: {arguments:?}");
    ExitStatus::Failure
}
