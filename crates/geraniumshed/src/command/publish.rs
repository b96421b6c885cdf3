//! `geraniumshed publish`.

use geraniumshed_model::prelude::TimeSpan;
use geraniumshed_wire::record::RecordDraft;

use super::arguments::{OperatorArguments, operator_arguments};
use super::change::publish_table;
use super::check::read_files;
use super::session::{print_reply, report_error, run_session};
use super::wait::{WaitOptions, wait_in_force};
use crate::client::{ClientError, OperatorClient};
use crate::output::ExitStatus;

operator_arguments! {
    /// The options of `geraniumshed publish`.
    PublishArguments {
        #[options(free, help = "files with records")]
        files: Vec<String>,
        #[options(help = "wait until the records are in force everywhere")]
        wait: bool,
        #[options(no_short, help = "timeout of the wait (default 30s)", meta = "SPAN")]
        timeout: Option<TimeSpan>,
    }
}

/// Runs the command.
///
/// Nothing is published if any record of any file is invalid.
pub fn execute(arguments: PublishArguments) -> ExitStatus {
    if arguments.files.is_empty() {
        eprintln!("error: no file is named (hint: geraniumshed publish FILE…)");
        return ExitStatus::Usage;
    }
    let drafts = match read_files(&arguments.files, arguments.output) {
        Ok(drafts) => drafts,
        Err(status) => return status,
    };
    run_session(&arguments, async |client| {
        publish_drafts(&client, &drafts, &arguments).await
    })
}

async fn publish_drafts(
    client: &OperatorClient,
    drafts: &[RecordDraft],
    arguments: &PublishArguments,
) -> Result<ExitStatus, ClientError> {
    let mut replies = Vec::new();
    for (index, draft) in drafts.iter().enumerate() {
        match client.publish(&draft.text).await {
            Ok(reply) => replies.push(reply),
            Err(error) => {
                if !replies.is_empty() {
                    print_reply(arguments.output, &replies, publish_table);
                }
                eprintln!(
                    "publishing `{}` failed; {} of {} records were accepted, {} were not sent",
                    draft.key,
                    replies.len(),
                    drafts.len(),
                    drafts.len() - index - 1,
                );
                return Ok(report_error(&error, arguments.output()));
            }
        }
    }
    print_reply(arguments.output, &replies, publish_table);
    let options = WaitOptions {
        wait: arguments.wait,
        timeout: arguments.timeout,
    };
    let offset = replies.iter().map(|reply| reply.offset).max().unwrap_or(0);
    wait_in_force(client, offset, options).await
}
