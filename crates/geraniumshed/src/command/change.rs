//! Publishing configuration changes and reporting their outcome.

use geraniumshed_wire::operator::PublishReply;

use super::session::print_reply;
use super::wait::{WaitOptions, wait_in_force};
use crate::client::{ClientError, OperatorClient};
use crate::output::{ExitStatus, OutputFormat, TextTable};

/// Publishes a record that a command has generated, and waits if the options ask for it.
///
/// # Errors
///
/// Returns an error if the call fails.
pub async fn publish_text(
    client: &OperatorClient,
    text: &str,
    output: OutputFormat,
    options: WaitOptions,
) -> Result<ExitStatus, ClientError> {
    let reply = client.publish(text).await?;
    finish_change(client, reply, output, options).await
}

/// Prints an accepted change, and waits if the options ask for it.
///
/// # Errors
///
/// Returns an error if the call fails.
pub async fn finish_change(
    client: &OperatorClient,
    reply: PublishReply,
    output: OutputFormat,
    options: WaitOptions,
) -> Result<ExitStatus, ClientError> {
    let offset = reply.offset;
    print_reply(output, &vec![reply], publish_table);
    wait_in_force(client, offset, options).await
}

/// Returns a table of accepted records.
pub fn publish_table(replies: &Vec<PublishReply>) -> String {
    let mut table = TextTable::new(&["KIND", "NAME", "GENERATION"]);
    for reply in replies {
        table.row(vec![
            reply.kind.to_string(),
            reply.name.to_string(),
            reply.generation.to_string(),
        ]);
    }
    table.render()
}
