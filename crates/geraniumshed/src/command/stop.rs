//! `geraniumshed stop`.

use geraniumshed_model::prelude::TimeSpan;

use super::arguments::operator_arguments;
use super::change::{finish_change, publish_text};
use super::session::run_session;
use super::wait::WaitOptions;
use crate::output::ExitStatus;

operator_arguments! {
    /// The options of `geraniumshed stop`.
    StopArguments {
        #[options(free, help = "name of the service")]
        service: Option<String>,
        #[options(no_short, help = "start the service again")]
        undo: bool,
        #[options(help = "wait until the change is in force everywhere")]
        wait: bool,
        #[options(no_short, help = "timeout of the wait (default 30s)", meta = "SPAN")]
        timeout: Option<TimeSpan>,
    }
}

/// Runs the command.
pub fn execute(arguments: StopArguments) -> ExitStatus {
    let Some(service) = &arguments.service else {
        eprintln!("error: no service is named (hint: geraniumshed stop SERVICE)");
        return ExitStatus::Usage;
    };
    run_session(&arguments, async |client| {
        let options = WaitOptions {
            wait: arguments.wait,
            timeout: arguments.timeout,
        };
        if arguments.undo {
            let reply = client.withdraw(&format!("stop/{service}"), None).await?;
            return finish_change(&client, reply, arguments.output, options).await;
        }
        // A stop record for a missing service would stop a service published later under that name.
        client.get(&format!("service/{service}")).await?;
        let text = format!("schema: 2\nkind: stop\nname: {service}\n");
        publish_text(&client, &text, arguments.output, options).await
    })
}
