//! One gang in calm, whose members all have to run on one runner, which has room for them.

use std::io;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Outcome;
use crate::clients::Step;
use crate::record::Recorder;
use crate::site::Site;
use crate::worker::{RARE_KIND, Shape};

/// The number of members, with the trouble and without.
const MEMBERS: (u64, u64) = (100, 40);
/// The members of the gang.
const MEMBER: Shape = Shape {
    cpu: 300,
    mem_mb: 500,
    time: Some(Duration::from_secs(2)),
    saves: false,
    is_uneven: false,
    gang: 0,
    requires: Some(RARE_KIND),
};
/// The ways of a call to the runners in each zone and back: two of them are in other zones than the daemons,
/// 5.4 ms away.
pub const WAYS: [Duration; 3] = [
    Duration::from_micros(400),
    Duration::from_micros(10_800),
    Duration::from_micros(10_800),
];
/// The time after which the gang is looked at.
const TIME: Duration = Duration::from_secs(30);

pub fn play(
    program: &Path,
    directory: &Path,
    recorder: &Recorder,
    has_trouble: bool,
) -> io::Result<Outcome> {
    let site = Site::open(program, directory, recorder, 9, WAYS)?;
    let count = if has_trouble { MEMBERS.0 } else { MEMBERS.1 };
    let shape = Shape {
        gang: count as usize,
        ..MEMBER
    };
    let job = site.submit(100, "batch", Step { count, shape }, 3);
    if !job.is_accepted {
        return Err(io::Error::other("the gang isn't accepted"));
    }
    thread::sleep(TIME);
    let ends = site.fleet.count_ends();
    recorder.tell(&format!(
        "{count} members; ends: {ends:?}; state: {:?}",
        site.state(&job)
    ));
    match ends.get("alone") {
        Some(alone) => Ok(Outcome::Broken(format!(
            "GANG: {alone} runs have ended alone"
        ))),
        None => Ok(Outcome::Held),
    }
}
