//! `geraniumshed resolve`.

use geraniumshed_wire::operator::TaskDecision;

use super::arguments::operator_arguments;
use super::session::{print_reply, run_session};
use crate::output::ExitStatus;

operator_arguments! {
    /// The options of `geraniumshed resolve`.
    ResolveArguments {
        #[options(free, help = "the task, as RECORD/GENERATION/INDEX")]
        task: Option<String>,
        #[options(no_short, help = "run the task again")]
        rerun: bool,
        #[options(no_short, help = "mark the task as completed")]
        completed: bool,
    }
}

/// Runs the command.
pub fn execute(arguments: ResolveArguments) -> ExitStatus {
    let Some(task) = &arguments.task else {
        eprintln!("error: no task is named (hint: geraniumshed resolve TASK --rerun|--completed)");
        return ExitStatus::Usage;
    };
    let decision = match (arguments.rerun, arguments.completed) {
        (true, false) => TaskDecision::Rerun,
        (false, true) => TaskDecision::Completed,
        _ => {
            eprintln!("error: name exactly one of --rerun and --completed");
            return ExitStatus::Usage;
        }
    };
    run_session(&arguments, async |client| {
        let reply = client.resolve(task, decision).await?;
        print_reply(arguments.output, &reply, |_| {
            format!("{task} is resolved\n")
        });
        Ok(ExitStatus::Done)
    })
}
