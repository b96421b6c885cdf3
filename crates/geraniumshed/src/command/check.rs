//! `geraniumshed check`.

use std::env;
use std::fs;
use std::path::Path;

use geraniumshed_daemon::settings::open_settings;
use geraniumshed_wire::document::ProblemList;
use geraniumshed_wire::operator::{CheckReply, CheckedRecord};
use geraniumshed_wire::record::{RecordDraft, read_records};
use gumdrop::Options;
use smol_str::{SmolStr, ToSmolStr};

use super::session::print_reply;
use crate::output::{ExitStatus, OutputFormat, TextTable, print_json};

/// The options of `geraniumshed check`.
#[derive(Debug, Options)]
pub struct CheckArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "files with records")]
    files: Vec<String>,
    #[options(
        no_short,
        help = "treat the files as daemon settings instead of records"
    )]
    settings: bool,
    #[options(help = "output format: table or json", meta = "FORM")]
    output: OutputFormat,
}

/// Runs the command.
pub fn execute(arguments: CheckArguments) -> ExitStatus {
    if arguments.files.is_empty() {
        eprintln!("error: no file is named (hint: geraniumshed check FILE…)");
        return ExitStatus::Usage;
    }
    if arguments.settings {
        return check_settings(&arguments.files);
    }
    let drafts = match read_files(&arguments.files, arguments.output) {
        Ok(drafts) => drafts,
        Err(status) => return status,
    };
    let reply = CheckReply {
        records: drafts.iter().map(checked_record).collect(),
    };
    print_reply(arguments.output, &reply, check_table);
    ExitStatus::Done
}

/// Reads the records of all files and prints every problem found.
///
/// # Errors
///
/// Returns the exit status of the command if any file has a problem.
pub fn read_files(files: &[String], output: OutputFormat) -> Result<Vec<RecordDraft>, ExitStatus> {
    let mut drafts = Vec::new();
    let mut found = ProblemList::default();
    for file in files {
        let text = fs::read_to_string(file).map_err(|error| {
            eprintln!("error: {file} can't be read: {error}");
            ExitStatus::Failure
        })?;
        match read_records(&text) {
            Ok(read) => drafts.extend(read),
            Err(list) => {
                if output == OutputFormat::Table {
                    print_problems(file, &list);
                }
                found.problems.extend(list.problems);
            }
        }
    }
    if !found.is_empty() {
        if output == OutputFormat::Json {
            print_json(&found);
        }
        return Err(ExitStatus::Invalid);
    }
    if drafts.is_empty() {
        eprintln!("error: the files contain no records");
        return Err(ExitStatus::Invalid);
    }
    Ok(drafts)
}

fn check_settings(files: &[String]) -> ExitStatus {
    let mut status = ExitStatus::Done;
    for file in files {
        match open_settings(Path::new(file), env::vars()) {
            Ok(settings) => println!("{file}: the settings of {} are valid", settings.identity.id),
            Err(error) => {
                eprintln!("error: {file}:\n{error}");
                status = ExitStatus::Invalid;
            }
        }
    }
    status
}

fn print_problems(file: &str, list: &ProblemList) {
    for problem in &list.problems {
        eprintln!("error: {file}: {problem}");
    }
}

fn checked_record(draft: &RecordDraft) -> CheckedRecord {
    CheckedRecord {
        kind: SmolStr::new_static(draft.key.kind.name()),
        name: draft.key.name.to_smolstr(),
        schema: draft.schema.0,
        current: draft.replaces.map_or(0, |generation| generation.0),
    }
}

fn check_table(reply: &CheckReply) -> String {
    let mut table = TextTable::new(&["KIND", "NAME", "SCHEMA", "REPLACES"]);
    for record in &reply.records {
        let replaces = match record.current {
            0 => "whatever is in force".to_owned(),
            generation => generation.to_string(),
        };
        table.row(vec![
            record.kind.to_string(),
            record.name.to_string(),
            record.schema.to_string(),
            replaces,
        ]);
    }
    table.render()
}
