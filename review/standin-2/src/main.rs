//! Plays a script of the second review: `review-standin-2 SCRIPT RECORD`.
//!
//! The daemons' program is the build of the deploy file. `TROUBLE=0` leaves the disruption out.
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the script couldn't run.

mod daemon;
mod http;
mod json;
mod record;
mod removed_queue;
mod rig;
mod store;
mod worker;

use std::env;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a script has found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut arguments = env::args().skip(1);
    let (Some(script), Some(path)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-standin-2 SCRIPT RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    match play(&script, PathBuf::from(path), has_trouble) {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the script could not run: {error}");
            ExitCode::from(2)
        }
    }
}

fn play(script: &str, path: PathBuf, has_trouble: bool) -> io::Result<Verdict> {
    match script {
        "removed-queue" => removed_queue::play(&path, has_trouble),
        _ => Err(io::Error::other("there is no such script")),
    }
}
