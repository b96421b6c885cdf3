//! `geraniumshed list`.

use geraniumshed_wire::operator::RecordList;

use super::arguments::operator_arguments;
use super::session::{print_reply, run_session};
use crate::output::{ExitStatus, TextTable};

operator_arguments! {
    /// The options of `geraniumshed list`.
    ListArguments {
        #[options(free, help = "kind of the records (default: all kinds)")]
        kind: Option<String>,
    }
}

/// Runs the command.
pub fn execute(arguments: ListArguments) -> ExitStatus {
    run_session(&arguments, async |client| {
        let list = client.list(arguments.kind.as_deref()).await?;
        print_reply(arguments.output, &list, list_table);
        Ok(ExitStatus::Done)
    })
}

fn list_table(list: &RecordList) -> String {
    let mut table = TextTable::new(&["KIND", "NAME", "GENERATION", "SCHEMA"]);
    for record in &list.records {
        table.row(vec![
            record.kind.to_string(),
            record.name.to_string(),
            record.replaces.to_string(),
            record.schema.to_string(),
        ]);
    }
    table.render()
}
