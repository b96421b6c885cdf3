//! `geraniumshed explain`.

use std::fs::File;
use std::io::{self, BufRead, BufReader};

use gumdrop::Options;

use crate::explain::{JobTimeline, LogLine};
use crate::output::{ExitStatus, TextTable};

/// The options of `geraniumshed explain`.
#[derive(Debug, Options)]
pub struct ExplainArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "a job's id, then the log files of nodes")]
    words: Vec<String>,
}

/// Runs the command.
pub fn execute(arguments: ExplainArguments) -> ExitStatus {
    let Some((job, files)) = arguments.words.split_first() else {
        eprintln!("error: no job is named (hint: geraniumshed explain ID FILE…)");
        return ExitStatus::Usage;
    };
    if files.is_empty() {
        eprintln!("error: no file is named (hint: geraniumshed explain ID FILE…)");
        return ExitStatus::Usage;
    }
    let mut lines = Vec::new();
    for file in files {
        match read_lines(file) {
            Ok(read) => lines.extend(read),
            Err(error) => {
                eprintln!("error: {file} can't be read: {error}");
                return ExitStatus::Failure;
            }
        }
    }
    let timeline = JobTimeline::select(job, lines);
    if timeline.lines().is_empty() {
        eprintln!(
            "error: no log line mentions the job {job} (hint: name the log files of all nodes)"
        );
        return ExitStatus::Failure;
    }
    print!("{}", timeline_table(&timeline).render());
    ExitStatus::Done
}

fn read_lines(file: &str) -> io::Result<Vec<LogLine>> {
    let lines = BufReader::new(File::open(file)?).lines();
    let read = lines.map(|line| Ok(LogLine::parse(&line?, file)));
    read.filter_map(Result::transpose).collect()
}

fn timeline_table(timeline: &JobTimeline) -> TextTable {
    let mut table = TextTable::new(&["TIME", "NODE", "WHAT", "INPUTS"]);
    for line in timeline.lines() {
        let fields = line.fields.iter().filter(|(name, _)| *name != "job");
        let fields = fields.map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        });
        let fields: Vec<String> = fields.collect();
        table.row(vec![
            line.time.clone(),
            line.origin.clone(),
            line.text.clone(),
            fields.join(" "),
        ]);
    }
    table
}
