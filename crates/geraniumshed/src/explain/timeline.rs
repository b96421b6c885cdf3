//! The lines that tell what befell a job.

use std::collections::BTreeSet;

use super::line::LogLine;

/// What nodes tell of themselves, which may have touched any job.
const CLUSTER_TEXTS: [&str; 9] = [
    "started",
    "stopping",
    "stopped",
    "elected to lead",
    "leading with the jobs from the store",
    "not leading any more",
    "store leaves an append unanswered; asking other nodes",
    "dependency is lost",
    "dependency is back",
];

/// The lines that tell what befell a job, in order of time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobTimeline {
    lines: Vec<LogLine>,
}

impl JobTimeline {
    /// Picks the lines of a job: those that name it, what befell the workers of its runs, and what
    /// nodes told of themselves between its first line and its last.
    pub fn pick(job: &str, mut lines: Vec<LogLine>) -> Self {
        lines.sort_by(|one, other| one.time.cmp(&other.time));
        let is_own = |line: &LogLine| line.field("job") == Some(job);
        let Some(first) = lines.iter().position(is_own) else {
            return Self::default();
        };
        let last = lines.iter().rposition(is_own).unwrap_or(first);
        let workers: BTreeSet<String> = lines
            .iter()
            .filter(|line| is_own(line))
            .filter_map(|line| line.field("worker").map(str::to_owned))
            .collect();
        let befell_worker = |line: &LogLine| {
            let worker = line.field("worker").filter(|_| line.field("job").is_none());
            worker.is_some_and(|worker| workers.contains(worker))
        };
        let lines = lines
            .into_iter()
            .enumerate()
            .filter(|(place, line)| {
                let is_between = (first..=last).contains(place);
                let is_told = CLUSTER_TEXTS.contains(&line.text.as_str());
                is_own(line) || is_between && (is_told || befell_worker(line))
            })
            .map(|(_, line)| line);
        Self {
            lines: lines.collect(),
        }
    }

    /// Returns the lines.
    pub fn lines(&self) -> &[LogLine] {
        &self.lines
    }
}
