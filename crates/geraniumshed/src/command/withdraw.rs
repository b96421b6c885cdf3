//! `geraniumshed withdraw`.

use geraniumshed_model::prelude::TimeSpan;

use super::arguments::operator_arguments;
use super::change::finish_change;
use super::session::run_session;
use super::wait::WaitOptions;
use crate::output::ExitStatus;

operator_arguments! {
    /// The options of `geraniumshed withdraw`.
    WithdrawArguments {
        #[options(free, help = "the record, as KIND/NAME")]
        record: Option<String>,
        #[options(no_short, help = "withdraw only if this generation is in force", meta = "N")]
        replaces: Option<u64>,
        #[options(help = "wait until the withdrawal is in force everywhere")]
        wait: bool,
        #[options(no_short, help = "timeout of the wait (default 30s)", meta = "SPAN")]
        timeout: Option<TimeSpan>,
    }
}

/// Runs the command.
pub fn execute(arguments: WithdrawArguments) -> ExitStatus {
    let Some(record) = &arguments.record else {
        eprintln!("error: no record is named (hint: geraniumshed withdraw KIND/NAME)");
        return ExitStatus::Usage;
    };
    run_session(&arguments, async |client| {
        let reply = client.withdraw(record, arguments.replaces).await?;
        let options = WaitOptions {
            wait: arguments.wait,
            timeout: arguments.timeout,
        };
        finish_change(&client, reply, arguments.output, options).await
    })
}
