//! A job is accepted on a route right after all processes were started again, and the operator removes
//! the route before the new leader has read the job.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::rig::{CUCR_WORKERS, Rig, Route};

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
/// The time in which the job has to run: `finishS`, and the `recoveryS` before it.
const LIMIT: Duration = Duration::from_secs(26);

pub fn play(path: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let mut rig = Rig::start(path, 3, 4, CUCR_WORKERS, &[KEPT, REMOVED])?;
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
    let later_ran = rig.await_done(LATER_JOB, 2, LIMIT);
    let ran = rig.await_done(JOB, 2, LIMIT);
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
    if ran {
        rig.note("held: the accepted job ran");
        return Ok(Verdict::Held);
    }
    rig.note("LOST is broken: the accepted job has no run, with nearly all capacity free");
    Ok(Verdict::Broken)
}
