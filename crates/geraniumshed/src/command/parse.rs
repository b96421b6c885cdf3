//! From the words of the command line to a command.

use std::fmt::Write as _;

use gumdrop::{Options, ParsingStyle};

use super::bench::run_bench;
use super::cancel::CancelArguments;
use super::check::CheckArguments;
use super::dev::DevArguments;
use super::drain::DrainArguments;
use super::explain::ExplainArguments;
use super::get::GetArguments;
use super::history::HistoryArguments;
use super::list::ListArguments;
use super::loglevel::LevelArguments;
use super::publish::PublishArguments;
use super::resolve::ResolveArguments;
use super::run::RunArguments;
use super::serve::ServeArguments;
use super::standin::StandinArguments;
use super::status::StatusArguments;
use super::stop::StopArguments;
use super::withdraw::WithdrawArguments;
use super::{
    cancel, check, dev, drain, explain, get, history, list, loglevel, publish, resolve, run, serve,
    standin, status, stop, withdraw,
};
use crate::output::ExitStatus;
use crate::output::exit::EXIT_CODE_HELP;

/// A command of the command line.
struct CommandEntry {
    name: &'static str,
    usage: &'static str,
    summary: &'static str,
    run: fn(&CommandEntry, &[String]) -> ExitStatus,
}

/// Builds a row of the command table.
const fn entry(
    name: &'static str,
    usage: &'static str,
    summary: &'static str,
    run: fn(&CommandEntry, &[String]) -> ExitStatus,
) -> CommandEntry {
    CommandEntry {
        name,
        usage,
        summary,
        run,
    }
}

/// All commands.
const COMMANDS: [CommandEntry; 18] = [
    entry(
        "run",
        "--settings FILE",
        "run the daemon",
        |entry, words| parse_and_run::<RunArguments>(entry, words, run::execute),
    ),
    entry(
        "serve",
        "[--metrics-port PORT]",
        "run a daemon on the users' platform",
        |entry, words| parse_and_run::<ServeArguments>(entry, words, serve::execute),
    ),
    entry(
        "standin",
        "--settings FILE",
        "run stand-ins for the platform",
        |entry, words| parse_and_run::<StandinArguments>(entry, words, standin::execute),
    ),
    entry(
        "dev",
        "[--once]",
        "run daemons and stand-ins together",
        |entry, words| parse_and_run::<DevArguments>(entry, words, dev::execute),
    ),
    entry(
        "check",
        "FILE…",
        "check records or settings without publishing",
        |entry, words| parse_and_run::<CheckArguments>(entry, words, check::execute),
    ),
    entry(
        "publish",
        "FILE… [--wait]",
        "publish the records of files",
        |entry, words| parse_and_run::<PublishArguments>(entry, words, publish::execute),
    ),
    entry(
        "withdraw",
        "KIND/NAME",
        "withdraw a record",
        |entry, words| parse_and_run::<WithdrawArguments>(entry, words, withdraw::execute),
    ),
    entry(
        "get",
        "KIND/NAME",
        "print a record, ready to be changed and published",
        |entry, words| parse_and_run::<GetArguments>(entry, words, get::execute),
    ),
    entry(
        "list",
        "[KIND]",
        "list the records in force",
        |entry, words| parse_and_run::<ListArguments>(entry, words, list::execute),
    ),
    entry(
        "history",
        "[KIND/]NAME",
        "list all publications of a record",
        |entry, words| parse_and_run::<HistoryArguments>(entry, words, history::execute),
    ),
    entry("cancel", "JOB", "cancel a batch job", |entry, words| {
        parse_and_run::<CancelArguments>(entry, words, cancel::execute)
    }),
    entry(
        "drain",
        "--vm|--rack|--zone NAME",
        "empty VMs, or let them fill again",
        |entry, words| parse_and_run::<DrainArguments>(entry, words, drain::execute),
    ),
    entry(
        "stop",
        "SERVICE",
        "stop a service gracefully, or start it again",
        |entry, words| parse_and_run::<StopArguments>(entry, words, stop::execute),
    ),
    entry(
        "resolve",
        "TASK --rerun|--completed",
        "decide about a task in state unknown",
        |entry, words| parse_and_run::<ResolveArguments>(entry, words, resolve::execute),
    ),
    entry(
        "status",
        "[--watch]",
        "show the state of the cluster",
        |entry, words| parse_and_run::<StatusArguments>(entry, words, status::execute),
    ),
    entry(
        "explain",
        "JOB FILE…",
        "tell from nodes' logs what befell a job",
        |entry, words| parse_and_run::<ExplainArguments>(entry, words, explain::execute),
    ),
    entry(
        "loglevel",
        "LEVEL",
        "change the level of a daemon's log",
        |entry, words| parse_and_run::<LevelArguments>(entry, words, loglevel::execute),
    ),
    entry("bench", "NAME …", "run a benchmark", |_, words| {
        run_bench(words)
    }),
];

/// Runs the command that the words name.
pub fn run_command(words: &[String]) -> ExitStatus {
    let Some((name, rest)) = words.split_first() else {
        eprint!("{}", general_help());
        return ExitStatus::Usage;
    };
    match name.as_str() {
        "help" | "--help" | "-h" => {
            if let Some(entry) = rest.first().and_then(|name| find_command(name)) {
                return (entry.run)(entry, &["--help".to_owned()]);
            }
            print!("{}", general_help());
            ExitStatus::Done
        }
        "version" | "--version" | "-V" => {
            println!("geraniumshed {}", env!("CARGO_PKG_VERSION"));
            ExitStatus::Done
        }
        name => {
            if let Some(entry) = find_command(name) {
                return (entry.run)(entry, rest);
            }
            eprintln!("error: there is no command `{name}` (hint: see `geraniumshed help`)");
            ExitStatus::Usage
        }
    }
}

fn find_command(name: &str) -> Option<&'static CommandEntry> {
    COMMANDS.iter().find(|entry| entry.name == name)
}

fn parse_and_run<A: Options>(
    entry: &CommandEntry,
    words: &[String],
    run: fn(A) -> ExitStatus,
) -> ExitStatus {
    let arguments = match A::parse_args(words, ParsingStyle::AllOptions) {
        Ok(arguments) => arguments,
        Err(error) => {
            let name = entry.name;
            eprintln!("error: {error} (hint: see `geraniumshed {name} --help`)");
            return ExitStatus::Usage;
        }
    };
    if arguments.help_requested() {
        println!("geraniumshed {} {}", entry.name, entry.usage);
        println!("  {}\n\n{}\n\n{EXIT_CODE_HELP}", entry.summary, A::usage());
        return ExitStatus::Done;
    }
    run(arguments)
}

fn general_help() -> String {
    let commands = COMMANDS
        .iter()
        .map(|entry| (entry.name, entry.usage, entry.summary));
    let others = [
        ("help", "[COMMAND]", "show this help or that of a command"),
        ("version", "", "print the version"),
    ];
    let mut text = String::from("geraniumshed COMMAND …\n\nCommands:\n");
    for (name, usage, summary) in commands.chain(others) {
        let call = format!("{name} {usage}");
        // Writing to a string can't fail.
        let _ = writeln!(text, "  {call:<36}{summary}");
    }
    text + "\n" + EXIT_CODE_HELP + "\n"
}
