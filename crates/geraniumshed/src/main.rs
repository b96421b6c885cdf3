//! The geraniumshed binary: runs the daemon, the stand-ins and the operators' commands.

use std::env;
use std::process::ExitCode;

use geraniumshed::command::run_command;
use mimalloc::MiMalloc;

#[global_allocator]
static ALLOCATOR: MiMalloc = MiMalloc;

fn main() -> ExitCode {
    let arguments: Vec<String> = env::args().skip(1).collect();
    run_command(&arguments).into()
}
