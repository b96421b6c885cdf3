//! `geraniumshed stop`.

use geraniumshed_model::prelude::TimeSpan;
use geraniumshed_wire::operator::PublishReply;

use super::arguments::operator_arguments;
use super::publish::publish_table;
use super::session::{print_reply, run_session};
use super::wait::wait_in_force;
use crate::client::{ClientError, OperatorClient};
use crate::output::{ExitStatus, OutputFormat};

operator_arguments! {
    /// The options of `geraniumshed stop`.
    StopArguments {
        #[options(free, help = "the service")]
        service: Option<String>,
        #[options(no_short, help = "start the service again")]
        undo: bool,
        #[options(help = "wait until the change is in force everywhere")]
        wait: bool,
        #[options(no_short, help = "the longest wait (default 30s)", meta = "SPAN")]
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
        let wait = arguments.wait.then_some(arguments.timeout);
        if arguments.undo {
            let reply = client.withdraw(&format!("stop/{service}"), None).await?;
            return finish_change(&client, reply, arguments.output, wait).await;
        }
        // A stop of a service that is not there would lie in wait for one of that name.
        client.get(&format!("service/{service}")).await?;
        let text = format!("schema: 2\nkind: stop\nname: {service}\n");
        publish_text(&client, &text, arguments.output, wait).await
    })
}

/// Publishes a record that a command has written, and waits if `wait` is given.
#[expect(
    clippy::option_option,
    reason = "the wait and its limit are both optional"
)]
pub async fn publish_text(
    client: &OperatorClient,
    text: &str,
    output: OutputFormat,
    wait: Option<Option<TimeSpan>>,
) -> Result<ExitStatus, ClientError> {
    let reply = client.publish(text).await?;
    finish_change(client, reply, output, wait).await
}

/// Prints a change that was accepted, and waits if `wait` is given.
#[expect(
    clippy::option_option,
    reason = "the wait and its limit are both optional"
)]
pub async fn finish_change(
    client: &OperatorClient,
    reply: PublishReply,
    output: OutputFormat,
    wait: Option<Option<TimeSpan>>,
) -> Result<ExitStatus, ClientError> {
    let offset = reply.offset;
    print_reply(output, &vec![reply], publish_table);
    match wait {
        Some(timeout) => wait_in_force(client, offset, timeout).await,
        None => Ok(ExitStatus::Done),
    }
}
