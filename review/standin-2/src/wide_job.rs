//! A job with many small tasks.

use std::io;
use std::path::Path;
use std::time::Duration;

use crate::Verdict;
use crate::rig::{Rig, Route};

const ROUTE: Route = Route {
    name: "r-3hwrr6x",
    prefix: "/lohu930/",
};
const WIDE_JOB: &str = "00000000000000a1";
const JOB: &str = "00000000000000b2";
const BODY: &str = r#"{"spec":"500","steps":[{"count":2,"cpu":500,"memMb":256,"estimateMs":500}]}"#;

pub fn play(path: &Path, has_trouble: bool) -> io::Result<Verdict> {
    let rig = Rig::start(path, 3, 48, &[ROUTE])?;
    let count: u32 = std::env::var("COUNT")
        .ok()
        .and_then(|one| one.parse().ok())
        .unwrap_or(12_000);
    if has_trouble {
        let body = format!(
            "{{\"spec\":\"20000\",\"steps\":[{{\"count\":{count},\"cpu\":100,\"memMb\":256,\
             \"estimateMs\":20000,\"enableCheckpoints\":true}}]}}"
        );
        let target = format!("{}{WIDE_JOB}", ROUTE.prefix);
        if rig.submit(&target, &body, Duration::from_secs(5)).is_none() {
            return Err(io::Error::other("no daemon accepts the wide job"));
        }
        std::thread::sleep(Duration::from_secs(22));
    }
    let target = format!("{}{JOB}", ROUTE.prefix);
    if rig.submit(&target, BODY, Duration::from_secs(10)).is_none() {
        return Err(io::Error::other("no daemon accepts the job"));
    }
    let ran = rig.await_done(JOB, 2, Duration::from_secs(30));
    rig.call(0, "GET", &target, "");
    rig.note_runs(JOB);
    rig.note(&format!(
        "runs of the wide job: {}",
        rig.runs.of_job(WIDE_JOB).len()
    ));
    rig.note_logs(
        &["elected to lead", "leading with", "ending leadership"],
        12,
    );
    Ok(if ran { Verdict::Held } else { Verdict::Broken })
}
