//! Setup and error reporting shared by commands that call a daemon.

use serde::Serialize;
use serde_json::Value;
use tokio::runtime::Builder;

use super::arguments::OperatorArguments;
use crate::client::{ClientError, OperatorClient};
use crate::output::{ExitStatus, OutputFormat, print_json};

/// Opens a client, runs a command with it and reports its error.
pub fn run_session<A, F>(arguments: &A, run: impl FnOnce(OperatorClient) -> F) -> ExitStatus
where
    A: OperatorArguments,
    F: Future<Output = Result<ExitStatus, ClientError>>,
{
    let runtime = match Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("the program can't start: {error}");
            return ExitStatus::Failure;
        }
    };
    let result = match OperatorClient::open(&arguments.client_settings()) {
        Ok(client) => runtime.block_on(run(client)),
        Err(error) => Err(error),
    };
    match result {
        Ok(status) => status,
        Err(error) => report_error(&error, arguments.output()),
    }
}

/// Prints an error and returns the exit status of the command.
pub fn report_error(error: &ClientError, output: OutputFormat) -> ExitStatus {
    match (output, error) {
        (OutputFormat::Json, ClientError::Problem(problem)) => print_json(problem),
        (OutputFormat::Json, error) => {
            print_json(&Value::from_iter([("error", error.to_string())]));
        }
        (OutputFormat::Table, error) => eprintln!("error: {error}"),
    }
    error.exit_status()
}

/// Prints a reply as JSON or as the text that `table` renders.
pub fn print_reply<T: Serialize>(
    output: OutputFormat,
    reply: &T,
    table: impl FnOnce(&T) -> String,
) {
    match output {
        OutputFormat::Json => print_json(reply),
        OutputFormat::Table => print!("{}", table(reply)),
    }
}
