//! Many large jobs that wait for room.

use std::io;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crate::Outcome;
use crate::clients::{Job, Step};
use crate::record::Recorder;
use crate::site::Site;
use crate::worker::Shape;

/// The number of large jobs.
const JOBS: u64 = 200;
/// The number of tasks of each, with the trouble and without.
const TASKS: (u64, u64) = (20_000, 20);
/// The number of machines that the rule asks for.
const MACHINES: usize = 2;
/// The time after the last job for which processes are watched.
const WATCH_TIME: Duration = Duration::from_secs(40);
/// The tasks of the large jobs.
const LARGE: Shape = Shape {
    cpu: 8_000,
    mem_mb: 1_000,
    time: None,
    saves: false,
    is_uneven: false,
    gang: 0,
    requires: None,
};

pub fn play(
    program: &Path,
    directory: &Path,
    recorder: &Recorder,
    has_trouble: bool,
) -> io::Result<Outcome> {
    let site = Site::open(program, directory, recorder, 24, [Duration::ZERO; 3])?;
    let count = if has_trouble { TASKS.0 } else { TASKS.1 };
    let step = Step {
        count,
        shape: LARGE,
    };
    let mut jobs: Vec<Job> = Vec::new();
    for number in 0..JOBS {
        jobs.push(site.submit(100 + number, "batch", step, 1));
        thread::sleep(Duration::from_millis(100));
        if site.often_ended() >= MACHINES {
            break;
        }
    }
    let until = Instant::now() + WATCH_TIME;
    while Instant::now() < until && site.often_ended() < MACHINES {
        thread::sleep(Duration::from_millis(200));
    }
    let accepted = jobs.iter().filter(|job| job.is_accepted).count();
    let often = site.often_ended();
    recorder.tell(&format!(
        "{} jobs of {count} tasks sent, {accepted} accepted; processes have ended three times on {often} machines",
        jobs.len()
    ));
    if often >= MACHINES {
        let reason =
            format!("Fault: on {often} machines, processes ended by themselves three times");
        return Ok(Outcome::Broken(reason));
    }
    Ok(Outcome::Held)
}

impl Site {
    /// Returns the number of machines on which processes have ended by themselves three times.
    fn often_ended(&self) -> usize {
        let daemons = self.daemons.lock().expect("no thread panics with the lock");
        daemons.iter().filter(|daemon| daemon.ends >= 3).count()
    }
}
