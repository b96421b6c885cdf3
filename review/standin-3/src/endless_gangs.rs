//! Gangs that never find room, and small jobs beside them.

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

/// The number of gangs.
const GANGS: u64 = 12;
/// The number of members of each, with the trouble and without. 24 runners have room for 7,680.
const MEMBERS: (u64, u64) = (20_000, 20);
/// The members of the gangs.
const MEMBER: Shape = Shape {
    cpu: 100,
    mem_mb: 1,
    time: Some(Duration::from_secs(1)),
    saves: false,
    is_uneven: false,
    gang: 0,
    requires: None,
};
/// The seconds for which small jobs are submitted, one a second.
const SECONDS: u64 = 15;

pub fn play(
    program: &Path,
    directory: &Path,
    recorder: &Recorder,
    has_trouble: bool,
) -> io::Result<Outcome> {
    let site = Site::open(program, directory, recorder, 24, [Duration::ZERO; 3])?;
    let count = if has_trouble { MEMBERS.0 } else { MEMBERS.1 };
    let shape = Shape {
        gang: count as usize,
        ..MEMBER
    };
    let step = Step { count, shape };
    let submit = |number| site.submit(100 + number, "batch", step, 3);
    let gangs: Vec<Job> = (0..GANGS).map(submit).collect();
    let accepted = gangs.iter().filter(|job| job.is_accepted).count();
    recorder.tell(&format!(
        "{GANGS} gangs of {count} members sent, {accepted} accepted"
    ));
    let mut jobs: Vec<Job> = Vec::new();
    for second in 0..SECONDS {
        thread::sleep(Duration::from_secs(1));
        jobs.push(site.submit(1_000 + second, "urgent", SMALL, 2));
    }
    judge_idle(&site, &jobs)
}
