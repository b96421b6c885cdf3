//! `geraniumshed history`.

use geraniumshed_model::prelude::RecordKind;
use geraniumshed_wire::operator::HistoryReply;
use smol_str::format_smolstr;

use super::arguments::operator_arguments;
use super::session::{print_reply, run_session};
use crate::client::{ClientError, OperatorClient};
use crate::output::{ExitStatus, TextTable};

operator_arguments! {
    /// The options of `geraniumshed history`.
    HistoryArguments {
        #[options(free, help = "the record, as KIND/NAME, or as NAME if only one kind has it")]
        record: Option<String>,
    }
}

/// Runs the command.
pub fn execute(arguments: HistoryArguments) -> ExitStatus {
    let Some(record) = &arguments.record else {
        eprintln!("error: no record is named (hint: geraniumshed history NAME)");
        return ExitStatus::Usage;
    };
    run_session(&arguments, async |client| {
        let key = find_key(&client, record).await?;
        let reply = client.history(&key).await?;
        print_reply(arguments.output, &reply, history_table);
        Ok(ExitStatus::Done)
    })
}

/// Returns the key of the record with a name, even if the record is no longer in force.
async fn find_key(client: &OperatorClient, record: &str) -> Result<String, ClientError> {
    if record.contains('/') {
        return Ok(record.to_owned());
    }
    let mut keys = Vec::new();
    for kind in RecordKind::all() {
        let key = format!("{kind}/{record}");
        if !client.history(&key).await?.entries.is_empty() {
            keys.push(key);
        }
    }
    match keys.as_slice() {
        [key] => Ok(key.clone()),
        [] => Err(ClientError::Settings(format_smolstr!(
            "no record `{record}` was ever published (hint: see `geraniumshed list`)"
        ))),
        keys => Err(ClientError::Settings(format_smolstr!(
            "`{record}` is ambiguous: it may be {} (hint: add the kind, as KIND/NAME)",
            keys.join(" or ")
        ))),
    }
}

fn history_table(reply: &HistoryReply) -> String {
    let mut table = TextTable::new(&[
        "OFFSET",
        "ACTION",
        "SCHEMA",
        "REPLACES",
        "VERDICT",
        "GENERATION",
    ]);
    for entry in &reply.entries {
        table.row(vec![
            entry.offset.to_string(),
            entry.action.to_string(),
            entry.schema.to_string(),
            entry.replaces.to_string(),
            entry.verdict.to_string(),
            entry.generation.to_string(),
        ]);
    }
    table.render()
}
