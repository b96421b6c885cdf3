//! One job with many tasks, and small jobs beside it.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::clients::{Job, Step};
use crate::record::Recorder;
use crate::site::Site;
use crate::worker::Shape;

/// The number of tasks.
const TASKS: u64 = 20_000;
/// The number of jobs with these tasks that are submitted without the trouble.
const PARTS: u64 = 20;
/// The tasks of the large job.
const LARGE: Shape = Shape {
    cpu: 13,
    mem_mb: 5,
    time: None,
    saves: false,
    is_uneven: false,
    gang: 0,
    requires: None,
};
/// The tasks of a small job.
pub const SMALL: Step = Step {
    count: 2,
    shape: Shape {
        cpu: 500,
        mem_mb: 100,
        time: Some(Duration::from_millis(500)),
        saves: false,
        is_uneven: false,
        gang: 0,
        requires: None,
    },
};
/// The seconds for which small jobs are submitted, one a second.
const SECONDS: u64 = 30;
/// The bound `finish_s`, from the end of the traffic on.
const FINISH: Duration = Duration::from_secs(14);
/// The time for which a job may have nothing running.
const IDLE: Duration = Duration::from_secs(3);

pub fn play(
    program: &Path,
    directory: &Path,
    recorder: &Recorder,
    has_trouble: bool,
) -> io::Result<Outcome> {
    let site = Site::open(program, directory, recorder, 24, [Duration::ZERO; 3])?;
    let first = site.submit(1, "urgent", SMALL, 5);
    thread::sleep(Duration::from_secs(3));
    if !site
        .state(&first)
        .is_some_and(|(_, state)| state == "completed")
    {
        return Err(io::Error::other("the first small job isn't completed"));
    }
    let parts = if has_trouble { 1 } else { PARTS };
    let mut jobs: Vec<Job> = Vec::new();
    for part in 0..parts {
        let count = TASKS / parts;
        let step = Step {
            count,
            shape: LARGE,
        };
        let job = site.submit(100 + part, "batch", step, 5);
        if !job.is_accepted {
            return Err(io::Error::other("a large job isn't accepted"));
        }
        jobs.push(job);
    }
    for second in 0..SECONDS {
        thread::sleep(Duration::from_secs(1));
        jobs.push(site.submit(1_000 + second, "urgent", SMALL, 3));
        let running: usize = jobs.iter().map(|job| site.fleet.running(&job.id)).sum();
        recorder.note(&format!("runners: {running} tasks run"));
    }
    thread::sleep(FINISH);
    let all = usize::try_from(TASKS).unwrap_or(0);
    let (idle, used, room) = site.idle_tasks(&jobs[..parts as usize], all, IDLE, &LARGE);
    let completed = |job: &&Job| {
        site.state(job)
            .is_some_and(|(_, state)| state == "completed")
    };
    let done = jobs[parts as usize..].iter().filter(completed).count();
    recorder.tell(&format!(
        "{all} tasks are to last; {idle} of them don't run for {} s, {FINISH:?} after the end of the traffic; \
         at most {:.0} % of the capacity in use, room for {room} such tasks; {done} of {SECONDS} small jobs are completed",
        IDLE.as_secs(),
        used * 100.0
    ));
    if idle == 0 {
        return Ok(Outcome::Held);
    }
    if used >= 0.5 || room < 2 * idle as u64 {
        return Err(io::Error::other(
            "there is too little room to judge the rule",
        ));
    }
    let reason = format!("LOST: {idle} tasks that last don't run, with capacity for them");
    Ok(Outcome::Broken(reason))
}

/// Judges the rule LOST: `finish_s` after the end of the traffic, no accepted job may have nothing running for
/// 3 s while there is room for it twice over and under half of the capacity is in use.
pub fn judge_idle(site: &Site, jobs: &[Job]) -> io::Result<Outcome> {
    thread::sleep(FINISH);
    let (idle, used, room) = site.idle_jobs(jobs, IDLE);
    let accepted = jobs.iter().filter(|job| job.is_accepted).count();
    site.recorder.tell(&format!(
        "{} jobs sent, {accepted} accepted, {} of them not completed and without a task that runs for {} s, \
         {FINISH:?} after the end of the traffic; at most {:.0} % of the capacity in use, room for {room} of their tasks",
        jobs.len(),
        idle.len(),
        IDLE.as_secs(),
        used * 100.0
    ));
    for job in &idle {
        site.recorder.note(&format!("idle: {}", job.id));
    }
    if idle.is_empty() {
        return Ok(Outcome::Held);
    }
    if used >= 0.5 || room < 2 * SMALL.count * idle.len() as u64 {
        return Err(io::Error::other(
            "there is too little room to judge the rule",
        ));
    }
    let reason = format!("LOST: {} accepted jobs have nothing running", idle.len());
    Ok(Outcome::Broken(reason))
}
