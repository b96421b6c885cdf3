//! Plays one case of the review against daemons of the release build.

mod cases;
mod daemons;
mod fleet;
mod http;
mod json;
mod record;
mod store;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::world::{Trouble, Verdict};

fn main() -> ExitCode {
    let mut words = std::env::args().skip(1);
    let (Some(case), Some(program), Some(folder)) = (words.next(), words.next(), words.next())
    else {
        eprintln!("usage: review-standin CASE DAEMON FOLDER");
        return ExitCode::from(2);
    };
    let trouble = Trouble::read();
    let verdict = cases::play(
        &case,
        &PathBuf::from(program),
        &PathBuf::from(folder),
        &trouble,
    );
    match verdict {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
