//! Parses the command line and runs the command that it names.

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
    entry("run", "--settings FILE", "run the daemon", |entry, args| {
        parse_and_run::<RunArguments>(entry, args, run::execute)
    }),
    entry(
        "serve",
        "[--metrics-port PORT]",
        "run a daemon on the users' platform",
        |entry, args| parse_and_run::<ServeArguments>(entry, args, serve::execute),
    ),
    entry(
        "standin",
        "--settings FILE",
        "run stand-ins for the platform",
        |entry, args| parse_and_run::<StandinArguments>(entry, args, standin::execute),
    ),
    entry(
        "dev",
        "[--once]",
        "run daemons and stand-ins in one process",
        |entry, args| parse_and_run::<DevArguments>(entry, args, dev::execute),
    ),
    entry(
        "check",
        "FILE…",
        "check records or settings without publishing",
        |entry, args| parse_and_run::<CheckArguments>(entry, args, check::execute),
    ),
    entry(
        "publish",
        "FILE… [--wait]",
        "publish the records of files",
        |entry, args| parse_and_run::<PublishArguments>(entry, args, publish::execute),
    ),
    entry(
        "withdraw",
        "KIND/NAME",
        "withdraw a record",
        |entry, args| parse_and_run::<WithdrawArguments>(entry, args, withdraw::execute),
    ),
    entry(
        "get",
        "KIND/NAME",
        "print a record, ready to be changed and published",
        |entry, args| parse_and_run::<GetArguments>(entry, args, get::execute),
    ),
    entry(
        "list",
        "[KIND]",
        "list the records in force",
        |entry, args| parse_and_run::<ListArguments>(entry, args, list::execute),
    ),
    entry(
        "history",
        "[KIND/]NAME",
        "list all publications of a record",
        |entry, args| parse_and_run::<HistoryArguments>(entry, args, history::execute),
    ),
    entry("cancel", "JOB", "cancel a batch job", |entry, args| {
        parse_and_run::<CancelArguments>(entry, args, cancel::execute)
    }),
    entry(
        "drain",
        "--vm|--rack|--zone NAME",
        "drain VMs, or undo a drain",
        |entry, args| parse_and_run::<DrainArguments>(entry, args, drain::execute),
    ),
    entry(
        "stop",
        "SERVICE",
        "stop a service gracefully, or start it again",
        |entry, args| parse_and_run::<StopArguments>(entry, args, stop::execute),
    ),
    entry(
        "resolve",
        "TASK --rerun|--completed",
        "decide the outcome of a task in state unknown",
        |entry, args| parse_and_run::<ResolveArguments>(entry, args, resolve::execute),
    ),
    entry(
        "status",
        "[--watch]",
        "show the state of the cluster",
        |entry, args| parse_and_run::<StatusArguments>(entry, args, status::execute),
    ),
    entry(
        "explain",
        "JOB FILE…",
        "show the timeline of a job from the logs of nodes",
        |entry, args| parse_and_run::<ExplainArguments>(entry, args, explain::execute),
    ),
    entry(
        "loglevel",
        "LEVEL",
        "change the level of a daemon's log",
        |entry, args| parse_and_run::<LevelArguments>(entry, args, loglevel::execute),
    ),
    entry("bench", "NAME …", "run a benchmark", |_, args| {
        run_bench(args)
    }),
];

/// Runs the command named by the first argument.
pub fn run_command(args: &[String]) -> ExitStatus {
    let Some((name, rest)) = args.split_first() else {
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
    args: &[String],
    run: fn(A) -> ExitStatus,
) -> ExitStatus {
    let arguments = match A::parse_args(args, ParsingStyle::AllOptions) {
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
        // Writing to a `String` never fails.
        let _ = writeln!(text, "  {call:<36}{summary}");
    }
    text + "\n" + EXIT_CODE_HELP + "\n"
}
