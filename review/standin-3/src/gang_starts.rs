//! Gangs of the width that the site's jobs have, whose members all have to run on one runner, which has room for
//! them. With the trouble they come at once, and without it one after the other.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::clients::{Job, Step};
use crate::record::Recorder;
use crate::site::Site;
use crate::worker::{RARE_KIND, Shape};

/// The number of gangs.
const GANGS: u64 = 4;
/// The number of members of each: the largest `width` of the site's jobs.
const MEMBERS: u64 = 36;
/// The time between two gangs without the trouble.
const GAP: Duration = Duration::from_secs(4);
/// The members of the gang.
const MEMBER: Shape = Shape {
    cpu: 220,
    mem_mb: 500,
    time: Some(Duration::from_secs(2)),
    saves: false,
    is_uneven: false,
    gang: MEMBERS as usize,
    requires: Some(RARE_KIND),
};
/// The ways of a call to the runners in each zone and back: two of them are in other zones than the daemons,
/// 5.4 ms away.
pub const WAYS: [Duration; 3] = [
    Duration::from_micros(400),
    Duration::from_micros(10_800),
    Duration::from_micros(10_800),
];
/// The time after the last gang at which the ends are looked at.
const TIME: Duration = Duration::from_secs(20);

pub fn play(
    program: &Path,
    directory: &Path,
    recorder: &Recorder,
    has_trouble: bool,
) -> io::Result<Outcome> {
    let site = Site::open(program, directory, recorder, 9, WAYS)?;
    let step = Step {
        count: MEMBERS,
        shape: MEMBER,
    };
    let submit = |number| site.submit(100 + number, "urgent", step, 3);
    let jobs: Vec<Job> = if has_trouble {
        thread::scope(|scope| {
            let sending: Vec<_> = (0..GANGS)
                .map(|number| scope.spawn(move || submit(number)))
                .collect();
            sending
                .into_iter()
                .filter_map(|one| one.join().ok())
                .collect()
        })
    } else {
        let submit_later = |number| {
            thread::sleep(GAP);
            submit(number)
        };
        (0..GANGS).map(submit_later).collect()
    };
    if jobs.iter().filter(|job| job.is_accepted).count() < GANGS as usize {
        return Err(io::Error::other("a gang isn't accepted"));
    }
    thread::sleep(TIME);
    let ends = site.fleet.count_ends();
    let states: Vec<_> = jobs.iter().map(|job| site.state(job)).collect();
    recorder.tell(&format!(
        "{GANGS} gangs of {MEMBERS}; ends: {ends:?}; states: {states:?}"
    ));
    match ends.get("alone") {
        Some(alone) => Ok(Outcome::Broken(format!(
            "GANG: {alone} runs have ended alone"
        ))),
        None => Ok(Outcome::Held),
    }
}
