//! `geraniumshed loglevel`.

use super::arguments::operator_arguments;
use super::session::{print_reply, run_session};
use crate::output::ExitStatus;

operator_arguments! {
    /// The options of `geraniumshed loglevel`.
    LevelArguments {
        #[options(free, help = "the level, such as `info` or `info, geraniumshed_core=debug`")]
        level: Option<String>,
    }
}

/// Runs the command.
pub fn execute(arguments: LevelArguments) -> ExitStatus {
    let Some(level) = &arguments.level else {
        eprintln!("error: no level is named (hint: geraniumshed loglevel info)");
        return ExitStatus::Usage;
    };
    run_session(&arguments, async |client| {
        let reply = client.set_log_level(level).await?;
        print_reply(arguments.output, &reply, |reply| {
            format!("the log level is {}\n", reply.level)
        });
        Ok(ExitStatus::Done)
    })
}
