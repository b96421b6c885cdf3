//! `geraniumshed dev`.

use gumdrop::Options;

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
    eprintln!("error: dev is not there yet: {arguments:?}");
    ExitStatus::Failure
}
