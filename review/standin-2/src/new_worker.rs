//! A runner that was added a second before is lost with a task that lasts.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::rig::{Rig, Route};
use crate::worker::WorkerSettings;

/// The runners of `yildiz-prova`.
const WORKERS: WorkerSettings = WorkerSettings {
    kind: "a",
    longest_lease_ms: 10_000,
};
/// The kind of the runners that are added.
const ADDED: WorkerSettings = WorkerSettings {
    kind: "b",
    ..WORKERS
};
const ROUTE: Route = Route {
    name: "r-3hwrr6x",
    prefix: "/lohu930/",
};
const JOB: &str = "00000000000000a1";
const BODY: &str = r#"{"spec":"lasts","steps":[{"count":1,"cpu":6400,"memMb":13000,"estimateMs":500,
"requires":"b","longRunning":true}]}"#;
/// The time at work after which the runner is lost.
const WORK_TIME: Duration = Duration::from_millis(500);
/// The time after its last run from which on a task that lasts has to run, and the time for which it may
/// then have nothing running.
const LIMIT: Duration = Duration::from_secs(6 + 3);
/// The time for which the task is watched.
const WATCH_TIME: Duration = Duration::from_secs(20);

pub fn play(path: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let rig = Rig::start(path, 3, 10, WORKERS, &[ROUTE])?;
    let target = format!("{}{JOB}", ROUTE.prefix);
    if rig.submit(&target, BODY, Duration::from_secs(5)).is_none() {
        return Err(io::Error::other("no daemon accepts the job"));
    }
    sleep(Duration::from_secs(5));
    let added = [rig.add_worker(20, ADDED)?, rig.add_worker(21, ADDED)?];
    rig.note(&format!("runners added: {} {}", added[0].id, added[1].id));
    let begun = Instant::now();
    while rig.runs.of_job(JOB).is_empty() {
        if begun.elapsed() > WATCH_TIME {
            return Err(io::Error::other("the job gets no runner"));
        }
        sleep(Duration::from_millis(10));
    }
    sleep(WORK_TIME);
    let first = rig.runs.of_job(JOB).swap_remove(0);
    if has_trouble {
        let lost = added.iter().find(|one| one.id == first.worker);
        let lost = lost.ok_or(io::Error::other("the job runs on another runner"))?;
        lost.lose();
    }
    sleep(WATCH_TIME);
    rig.note_runs(JOB);
    rig.note_logs(
        &[
            "elected to lead",
            "gone silent",
            "silent",
            "gives up",
            "lost",
            JOB,
        ],
        10,
    );
    let runs = rig.runs.of_job(JOB);
    let Some((ended, _)) = first_end(&rig) else {
        rig.note("held: the task ran all the while");
        return Ok(Verdict::Held);
    };
    let again = runs.iter().map(|run| run.started).find(|at| *at > ended);
    let away = again.map_or(WATCH_TIME, |at| at.saturating_sub(ended));
    rig.note(&format!(
        "the task was away for {:.3} s",
        away.as_secs_f64()
    ));
    if away <= LIMIT {
        rig.note("held: the task ran again in time");
        return Ok(Verdict::Held);
    }
    rig.note("LOST is broken: the task that lasts had nothing running 9 s after its last run");
    Ok(Verdict::Broken)
}

fn first_end(rig: &Rig) -> Option<(Duration, &'static str)> {
    rig.runs.of_job(JOB).first()?.ended
}
