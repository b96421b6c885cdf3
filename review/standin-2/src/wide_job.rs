//! A client hands in one job with many small tasks.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::rig::{CUCR_WORKERS, Rig, Route};

const ROUTE: Route = Route {
    name: "r-3hwrr6x",
    prefix: "/lohu930/",
};
const WIDE_JOB: &str = "00000000000000a1";
const JOB: &str = "00000000000000b2";
/// 19,000 tasks of a thirtieth of a processor that take 90 s, and 20 beside them that take 2 s.
const WIDE_BODY: &str = r#"{"spec":"90000,2000","steps":[
{"count":19000,"cpu":30,"memMb":64,"estimateMs":90000,"enableCheckpoints":true},
{"count":20,"cpu":50,"memMb":64,"estimateMs":2000}]}"#;
const BODY: &str = r#"{"spec":"500","steps":[{"count":2,"cpu":500,"memMb":256,"estimateMs":500}]}"#;
const WORKERS: usize = 48;
/// The time until the wide job's tasks are at work.
const RAMP: Duration = Duration::from_secs(15);
/// The time in which the later job has to run: `finishS`, and the `recoveryS` before it.
const LIMIT: Duration = Duration::from_secs(26);

pub fn play(path: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let rig = Rig::start(path, 3, WORKERS, CUCR_WORKERS, &[ROUTE])?;
    if has_trouble {
        let target = format!("{}{WIDE_JOB}", ROUTE.prefix);
        if rig
            .submit(&target, WIDE_BODY, Duration::from_secs(5))
            .is_none()
        {
            return Err(io::Error::other("no daemon accepts the wide job"));
        }
        sleep(RAMP);
    }
    let target = format!("{}{JOB}", ROUTE.prefix);
    if rig.submit(&target, BODY, Duration::from_secs(10)).is_none() {
        return Err(io::Error::other("no daemon accepts the later job"));
    }
    let ran = rig.await_done(JOB, 2, LIMIT);
    rig.call(0, "GET", &target, "");
    rig.note_runs(JOB);
    let wide = rig.runs.of_job(WIDE_JOB).len();
    rig.note(&format!("runners: {wide} runs of job {WIDE_JOB}"));
    rig.note_logs(&["elected to lead", "ending leadership"], 5);
    if ran {
        rig.note("held: the later job ran");
        return Ok(Verdict::Held);
    }
    rig.note("LOST is broken: the later job has no run, with two thirds of the capacity free");
    Ok(Verdict::Broken)
}
