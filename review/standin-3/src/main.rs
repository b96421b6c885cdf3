//! Plays one case: `review-standin-3 CASE TROUBLE DAEMON RECORD DIRECTORY`.
//!
//! Exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.

mod clients;
mod daemon;
mod endless_gangs;
mod gang_starts;
mod http;
mod large_jobs;
mod record;
mod site;
mod store;
mod store_outage;
mod wide_cancel;
mod wide_job;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Recorder;
use crate::site::Site;

/// The outcome of a case.
pub enum Outcome {
    Held,
    Broken(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, trouble, daemon, record, directory] = arguments.as_slice() else {
        eprintln!("usage: review-standin-3 CASE TROUBLE DAEMON RECORD DIRECTORY");
        return ExitCode::from(2);
    };
    let has_trouble = trouble != "0";
    let (daemon, directory) = (PathBuf::from(daemon), PathBuf::from(directory));
    let played = Recorder::open(&PathBuf::from(record)).and_then(|recorder| {
        recorder.tell(&format!("case {case}, trouble {has_trouble}"));
        let outcome = match case.as_str() {
            "store-outage" => store_outage::play(&daemon, &directory, &recorder, has_trouble),
            "wide-cancel" => wide_cancel::play(&daemon, &directory, &recorder, has_trouble),
            "wide-job" => wide_job::play(&daemon, &directory, &recorder, has_trouble),
            "endless-gangs" => endless_gangs::play(&daemon, &directory, &recorder, has_trouble),
            "gang-starts" => gang_starts::play(&daemon, &directory, &recorder, has_trouble),
            "large-jobs" => large_jobs::play(&daemon, &directory, &recorder, has_trouble),
            _ => Err(std::io::Error::other("there is no such case")),
        }?;
        match &outcome {
            Outcome::Held => recorder.tell("the rule held"),
            Outcome::Broken(reason) => recorder.tell(&format!("the rule is broken: {reason}")),
        }
        Ok(outcome)
    });
    match played {
        Ok(Outcome::Held) => ExitCode::SUCCESS,
        Ok(Outcome::Broken(_)) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

impl Site {
    /// Fails if the daemons don't get ready.
    fn open(
        daemon: &std::path::Path,
        directory: &std::path::Path,
        recorder: &Recorder,
        workers: usize,
        ways: [std::time::Duration; 3],
    ) -> std::io::Result<Self> {
        let site = Self::start(daemon, directory, recorder, workers, ways)?;
        site.await_ready()?;
        Ok(site)
    }
}
