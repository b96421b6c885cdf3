//! The geraniumshed binary: the daemon, the stand-ins and the command line for operators.

mod bench;
mod client;
mod command;
mod output;

use std::env;
use std::process::ExitCode;

use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    command::run_command(&arguments).into()
}
