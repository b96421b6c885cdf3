//! `geraniumshed get`.

use geraniumshed_wire::record::RecordDocument;

use super::arguments::operator_arguments;
use super::session::{print_reply, run_session};
use crate::output::ExitStatus;

operator_arguments! {
    /// The options of `geraniumshed get`.
    GetArguments {
        #[options(free, help = "the record, as KIND/NAME")]
        record: Option<String>,
    }
}

/// Runs the command.
pub fn execute(arguments: GetArguments) -> ExitStatus {
    let Some(record) = &arguments.record else {
        eprintln!("error: no record is named (hint: geraniumshed get KIND/NAME)");
        return ExitStatus::Usage;
    };
    run_session(&arguments, async |client| {
        let document = client.get(record).await?;
        print_reply(arguments.output, &document, record_yaml);
        Ok(ExitStatus::Done)
    })
}

fn record_yaml(document: &RecordDocument) -> String {
    serde_saphyr::to_string(document).unwrap_or_else(|error| format!("# {error}\n"))
}
