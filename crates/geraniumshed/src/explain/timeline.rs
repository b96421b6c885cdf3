//! Selecting the log lines that concern a job.

use std::collections::BTreeSet;

use super::line::LogLine;

/// The messages of nodes about themselves or the store, which may concern any job.
const CLUSTER_MESSAGES: [&str; 11] = [
    "started",
    "stopping",
    "stopped",
    "elected to lead",
    "leading with the jobs from the store",
    "not leading any more",
    "store leaves an append unanswered; asking other nodes",
    "dependency is lost",
    "dependency is back",
    "zone evacuation started",
    "zone evacuation cancelled",
];

/// The log lines that concern a job, in order of time.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct JobTimeline {
    lines: Vec<LogLine>,
}

impl JobTimeline {
    /// Selects the lines of a job: all lines that name it, and, between the first and the last of
    /// these, the lines about workers that ran it and the messages of nodes about themselves.
    pub fn select(job: &str, mut lines: Vec<LogLine>) -> Self {
        lines.sort_by(|one, other| one.time.cmp(&other.time));
        let is_about_job = |line: &LogLine| line.field("job") == Some(job);
        let Some(first) = lines.iter().position(is_about_job) else {
            return Self::default();
        };
        let last = lines.iter().rposition(is_about_job).unwrap_or(first);
        let workers: BTreeSet<String> = lines
            .iter()
            .filter(|line| is_about_job(line))
            .filter_map(|line| line.field("worker").map(str::to_owned))
            .collect();
        let is_about_worker = |line: &LogLine| {
            let worker = line.field("worker").filter(|_| line.field("job").is_none());
            worker.is_some_and(|worker| workers.contains(worker))
        };
        let lines = lines
            .into_iter()
            .enumerate()
            .filter(|(index, line)| {
                let is_between = (first..=last).contains(index);
                let is_about_cluster = CLUSTER_MESSAGES.contains(&line.text.as_str());
                is_about_job(line) || is_between && (is_about_cluster || is_about_worker(line))
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
