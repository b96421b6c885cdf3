//! The cancellation of a job with many tasks, in calm.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::clients::Step;
use crate::gang_starts::WAYS;
use crate::record::Recorder;
use crate::site::Site;
use crate::worker::Shape;

/// The number of tasks, with the trouble and without.
const TASKS: (u64, u64) = (4_500, 90);
/// The tasks of the job.
const TASK: Shape = Shape {
    cpu: 20,
    mem_mb: 10,
    time: None,
    saves: false,
    is_uneven: false,
    gang: 0,
    requires: None,
};
/// The time within which all tasks have to run.
const START_TIME: Duration = Duration::from_secs(60);
/// The bounds `cancel_ms` and `stopTimeoutMs`, from the acknowledgement on.
const CANCEL_TIME: Duration = Duration::from_millis(3_000 + 200);

pub fn play(
    program: &Path,
    directory: &Path,
    recorder: &Recorder,
    has_trouble: bool,
) -> io::Result<Outcome> {
    let site = Site::open(program, directory, recorder, 9, WAYS)?;
    let count = if has_trouble { TASKS.0 } else { TASKS.1 };
    let job = site.submit(100, "batch", Step { count, shape: TASK }, 3);
    let until = Instant::now() + START_TIME;
    while site.fleet.running(&job.id) < count as usize {
        if Instant::now() >= until {
            return Err(io::Error::other("not all tasks run"));
        }
        thread::sleep(Duration::from_millis(100));
    }
    // A time without any change.
    thread::sleep(Duration::from_secs(5));
    let running = site.fleet.running(&job.id);
    let answer = site.cancel(&job);
    recorder.tell(&format!(
        "{running} of {count} tasks run; cancelled: {answer:?}"
    ));
    if answer != Some(200) {
        return Err(io::Error::other("the cancellation isn't acknowledged"));
    }
    let acknowledged = Instant::now();
    let mut left_in_time = None;
    let mut gone_after = None;
    while acknowledged.elapsed() < Duration::from_secs(30) && gone_after.is_none() {
        let left = site.fleet.running(&job.id);
        if left == 0 {
            gone_after = Some(acknowledged.elapsed());
        }
        if acknowledged.elapsed() > CANCEL_TIME && left_in_time.is_none() {
            left_in_time = Some(left);
        }
        thread::sleep(Duration::from_millis(20));
    }
    let late = left_in_time.unwrap_or(0);
    recorder.tell(&format!(
        "{late} tasks run {CANCEL_TIME:?} after the acknowledgement; all are gone after {gone_after:?}"
    ));
    if late > 0 {
        return Ok(Outcome::Broken(format!(
            "UNASKED: {late} tasks of a cancelled job run on"
        )));
    }
    Ok(Outcome::Held)
}
