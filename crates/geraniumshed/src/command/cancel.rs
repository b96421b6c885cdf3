//! `geraniumshed cancel`.

use geraniumshed_model::prelude::TimeSpan;

use super::arguments::operator_arguments;
use super::change::publish_text;
use super::session::run_session;
use super::wait::WaitOptions;
use crate::output::ExitStatus;

operator_arguments! {
    /// The options of `geraniumshed cancel`.
    CancelArguments {
        #[options(free, help = "name of the job")]
        job: Option<String>,
        #[options(help = "wait until the cancellation is in force everywhere")]
        wait: bool,
        #[options(no_short, help = "timeout of the wait (default 30s)", meta = "SPAN")]
        timeout: Option<TimeSpan>,
    }
}

/// Runs the command.
pub fn execute(arguments: CancelArguments) -> ExitStatus {
    let Some(job) = &arguments.job else {
        eprintln!("error: no job is named (hint: geraniumshed cancel JOB)");
        return ExitStatus::Usage;
    };
    run_session(&arguments, async |client| {
        let record = client.get(&format!("job/{job}")).await?;
        let generation = record.replaces;
        let text =
            format!("schema: 2\nkind: cancel\nname: {job}\nspec:\n  generation: {generation}\n");
        let options = WaitOptions {
            wait: arguments.wait,
            timeout: arguments.timeout,
        };
        publish_text(&client, &text, arguments.output, options).await
    })
}
