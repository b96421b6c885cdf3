//! The store is down for some seconds while large jobs are in progress.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::clients::{Job, Step};
use crate::record::Recorder;
use crate::site::Site;
use crate::wide_job::{SMALL, judge_idle};
use crate::worker::Shape;

/// The number of large jobs.
const JOBS: u64 = 40;
/// The tasks of their first step, which run, and of their second one, which waits for these.
const TASKS: (u64, u64) = (100, 19_900);
/// The tasks of the large jobs.
const LARGE: Shape = Shape {
    cpu: 50,
    mem_mb: 10,
    time: Some(Duration::from_secs(100)),
    saves: false,
    is_uneven: true,
    gang: 0,
    requires: None,
};
/// The time for which the store refuses all calls.
const OUTAGE: Duration = Duration::from_millis(4_200);
/// The time from the end of the outage to the first small job.
const CALM: Duration = Duration::from_secs(5);
/// The seconds for which small jobs are submitted, one a second.
const SECONDS: u64 = 20;

pub fn play(
    program: &Path,
    directory: &Path,
    recorder: &Recorder,
    has_trouble: bool,
) -> io::Result<Outcome> {
    let site = Site::open(program, directory, recorder, 24, [Duration::ZERO; 3])?;
    let step = |count| Step {
        count,
        shape: LARGE,
    };
    let steps = [step(TASKS.0), step(TASKS.1)];
    for number in 0..JOBS {
        if !site
            .submit_chain(100 + number, "batch", &steps, 3)
            .is_accepted
        {
            return Err(io::Error::other("a large job isn't accepted"));
        }
        thread::sleep(Duration::from_millis(250));
    }
    thread::sleep(Duration::from_secs(3));
    recorder.tell(&format!(
        "{JOBS} large jobs; {} tasks run",
        site.fleet.running("")
    ));
    if has_trouble {
        site.store.set_down(true);
        thread::sleep(OUTAGE);
        site.store.set_down(false);
    }
    thread::sleep(CALM);
    let mut jobs: Vec<Job> = Vec::new();
    for second in 0..SECONDS {
        thread::sleep(Duration::from_secs(1));
        jobs.push(site.submit(1_000 + second, "urgent", SMALL, 2));
        recorder.note(&format!("runners: {} tasks run", site.fleet.running("")));
    }
    judge_idle(&site, &jobs)
}
