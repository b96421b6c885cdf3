//! A job is accepted on a route right after all processes were started again, and the operator removes
//! the route before the new leader has read the job.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::rig::{Rig, Route};

const KEPT: Route = Route {
    name: "r-3hwrr6x",
    prefix: "/lohu930/",
};
const REMOVED: Route = Route {
    name: "r-73d3zji",
    prefix: "/pufi791/",
};
const FIRST_JOB: &str = "00000000000000a1";
const JOB: &str = "00000000000000b2";
const LATER_JOB: &str = "00000000000000c3";
const BODY: &str = r#"{"spec":"500","steps":[{"count":2,"cpu":500,"memMb":256,"estimateMs":500}]}"#;
/// The time from the kill until the processes are started again.
const RESTART_DELAY: Duration = Duration::from_millis(1000);
/// The time after the last call of a client from which on jobs are judged (`finish_s`).
const FINISH: Duration = Duration::from_secs(14);
/// The time for which a job has to have nothing running.
const IDLE: Duration = Duration::from_secs(3);
/// The runners, and the processors of each, in thousandths.
const WORKERS: usize = 4;
const WORKER_CPU: usize = 32_000;
/// The processors of a task of any job here, in thousandths, and the tasks of a job.
const TASK_CPU: usize = 500;
const TASKS: usize = 2;

pub fn play(path: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut rig = Rig::start(path, 3, WORKERS, &[KEPT, REMOVED])?;
    let first = format!("{}{FIRST_JOB}", KEPT.prefix);
    let is_accepted = rig.submit(&first, BODY, Duration::from_secs(5)).is_some();
    if !is_accepted || !rig.await_done(FIRST_JOB, 2, Duration::from_secs(10)) {
        return Err(io::Error::other(
            "the system doesn't run a job before the disruption",
        ));
    }
    if has_trouble {
        rig.kill_daemons();
        sleep(RESTART_DELAY);
        rig.start_daemons()?;
    }
    let target = format!("{}{JOB}", REMOVED.prefix);
    if rig.submit(&target, BODY, Duration::from_secs(10)).is_none() {
        return Err(io::Error::other("no daemon accepts the job"));
    }
    rig.publish(4, &[KEPT]);
    let later = format!("{}{LATER_JOB}", KEPT.prefix);
    if rig.submit(&later, BODY, Duration::from_secs(10)).is_none() {
        return Err(io::Error::other("no daemon accepts the later job"));
    }
    let last_call = Instant::now();
    let later_ran = rig.await_done(LATER_JOB, TASKS, FINISH);
    sleep(FINISH.saturating_sub(last_call.elapsed()));
    let is_idle = stays_idle_beside_room(&rig);
    rig.call(0, "GET", &target, "");
    rig.call(0, "GET", &later, "");
    for job in [FIRST_JOB, JOB, LATER_JOB] {
        rig.note_runs(job);
    }
    rig.note_logs(&["elected to lead", "leading with", "is in force", JOB], 12);
    if !later_ran {
        return Err(io::Error::other(
            "the system doesn't run the later job either",
        ));
    }
    if rig.await_done(JOB, TASKS, Duration::ZERO) || !is_idle {
        rig.note("held: the accepted job ran, or runs, or there was no room for it");
        return Ok(Verdict::Held);
    }
    rig.note("LOST is broken: the accepted job had nothing running for 3 s, with room for it");
    Ok(Verdict::Broken)
}

/// Returns whether the job has nothing running for 3 s, while there is room for it twice over and under half of
/// all capacity is in use, and records the most that was in use.
fn stays_idle_beside_room(rig: &Rig) -> bool {
    let capacity = WORKERS * WORKER_CPU;
    let begun = Instant::now();
    let mut most = 0;
    let mut is_idle = true;
    while begun.elapsed() < IDLE {
        let runs = rig.runs.all();
        let active = runs.iter().filter(|run| run.ended.is_none());
        let (mine, others): (Vec<_>, Vec<_>) = active.partition(|run| run.task.starts_with(JOB));
        is_idle &= mine.is_empty();
        most = most.max(others.len() * TASK_CPU);
        sleep(Duration::from_millis(20));
    }
    let has_room = most + 2 * TASKS * TASK_CPU <= capacity && most * 2 < capacity;
    rig.note(&format!(
        "judged for 3 s: nothing of {JOB} running: {is_idle}; at most {most} of {capacity} thousandths in use"
    ));
    is_idle && has_room
}
