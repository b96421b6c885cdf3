//! `geraniumshed status`.

use std::time::Duration;

use geraniumshed_model::prelude::TimeSpan;
use geraniumshed_wire::operator::ClusterStatus;
use tokio::time::sleep;

use super::arguments::operator_arguments;
use super::session::{print_reply, run_session};
use crate::output::{ExitStatus, OutputFormat, TextTable};

/// The default time between two refreshes of `--watch`.
const DEFAULT_INTERVAL: Duration = Duration::from_secs(2);

operator_arguments! {
    /// The options of `geraniumshed status`.
    StatusArguments {
        #[options(help = "refresh the state until interrupted")]
        watch: bool,
        #[options(no_short, help = "time between two refreshes (default 2s)", meta = "SPAN")]
        interval: Option<TimeSpan>,
    }
}

/// Runs the command.
pub fn execute(arguments: StatusArguments) -> ExitStatus {
    run_session(&arguments, async |client| {
        loop {
            let status = client.status().await?;
            if arguments.watch && arguments.output == OutputFormat::Table {
                print!("\x1b[2J\x1b[H");
            }
            print_reply(arguments.output, &status, status_text);
            if !arguments.watch {
                return Ok(ExitStatus::Done);
            }
            sleep(arguments.interval.map_or(DEFAULT_INTERVAL, |span| span.0)).await;
        }
    })
}

fn status_text(status: &ClusterStatus) -> String {
    let mut text = summary_text(status);
    for (title, table) in [
        ("Daemons", peer_table(status)),
        ("Shards", shard_table(status)),
        ("Services", service_table(status)),
        ("Jobs", job_table(status)),
        ("Tasks that wait, fail or need you", task_table(status)),
    ] {
        if !table.is_empty() {
            text.push('\n');
            text.push_str(title);
            text.push('\n');
            text.push_str(&table.render());
        }
    }
    text
}

fn summary_text(status: &ClusterStatus) -> String {
    let daemon = &status.daemon;
    let config = &status.config;
    let in_force = if config.in_force_everywhere {
        "in force everywhere".to_owned()
    } else {
        format!("not yet in force at {}", config.lagging.join(", "))
    };
    let log = if status.log.reachable {
        "reachable".to_owned()
    } else {
        let silent = Duration::from_millis(status.log.silent_ms);
        format!("not reachable for {}", TimeSpan(silent))
    };
    let held = match config.held.as_slice() {
        [] => String::new(),
        held => format!("held, since their schema is unknown: {}\n", held.join(", ")),
    };
    format!(
        "daemon {} ({}, {}): {}, up {} s\nconfiguration: offset {}, {in_force}\nlog: {log}\n{held}",
        daemon.id,
        daemon.region,
        daemon.zone,
        daemon.phase,
        daemon.uptime_ms / 1000,
        config.applied,
    )
}

fn peer_table(status: &ClusterStatus) -> TextTable {
    let mut table = TextTable::new(&["ID", "ZONE", "ADDRESS", "STATE", "APPLIED", "SILENT"]);
    for peer in &status.peers {
        table.row(vec![
            peer.id.to_string(),
            peer.zone.to_string(),
            peer.address.to_string(),
            peer.phase.to_string(),
            peer.applied.to_string(),
            format!("{}ms", peer.silent_ms),
        ]);
    }
    table
}

fn shard_table(status: &ClusterStatus) -> TextTable {
    let mut table = TextTable::new(&[
        "SHARD",
        "OWNER",
        "TERM",
        "WORKERS",
        "RUNNING",
        "WAITING",
        "UNKNOWN",
        "INFEASIBLE",
    ]);
    for shard in &status.shards {
        table.row(vec![
            shard.shard.to_string(),
            if shard.owner.is_empty() {
                "-".to_owned()
            } else {
                shard.owner.to_string()
            },
            shard.term.to_string(),
            shard.workers.to_string(),
            shard.running.to_string(),
            shard.waiting.to_string(),
            shard.unknown.to_string(),
            shard.infeasible.to_string(),
        ]);
    }
    table
}

fn service_table(status: &ClusterStatus) -> TextTable {
    let mut table = TextTable::new(&[
        "SERVICE",
        "GENERATION",
        "READY",
        "LEAVING",
        "BOUND AS",
        "STATE",
    ]);
    for service in &status.services {
        let state = match (service.stopped, service.ready >= service.replicas) {
            (true, _) => "stopped",
            (false, true) => "whole",
            (false, false) => "short of replicas",
        };
        table.row(vec![
            service.name.to_string(),
            service.generation.to_string(),
            format!("{}/{}", service.ready, service.replicas),
            service.leaving.to_string(),
            service.bindings.join(", "),
            state.to_owned(),
        ]);
    }
    table
}

fn job_table(status: &ClusterStatus) -> TextTable {
    let mut table = TextTable::new(&["JOB", "GENERATION", "TASKS", "COMPLETED", "FAILED", "STATE"]);
    for job in &status.jobs {
        let state = match (job.cancelled, job.completed + job.failed >= job.tasks) {
            (true, _) => "cancelled",
            (false, true) => "ended",
            (false, false) => "open",
        };
        table.row(vec![
            job.name.to_string(),
            job.generation.to_string(),
            job.tasks.to_string(),
            job.completed.to_string(),
            job.failed.to_string(),
            state.to_owned(),
        ]);
    }
    table
}

fn task_table(status: &ClusterStatus) -> TextTable {
    let mut table = TextTable::new(&["TASK", "STATE", "WORKER", "REASON", "HINT"]);
    for task in &status.tasks {
        table.row(vec![
            task.task.to_string(),
            task.state.to_string(),
            task.worker.to_string(),
            task.reason.to_string(),
            task.hint.to_string(),
        ]);
    }
    table
}
