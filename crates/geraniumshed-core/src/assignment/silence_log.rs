//! When workers went silent, to tell the loss of a single worker from that of many.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;
use smol_str::SmolStr;

use crate::job::{JobId, WorkerId};

/// The longest time between two silences that count as simultaneous.
const SIMULTANEITY: Duration = Duration::from_millis(100);
/// The time after a silence within which all simultaneous ones are noticed.
pub(super) const NOTICE_TIME: Duration = Duration::from_millis(300);
/// How long a silence is remembered. It exceeds the time after which a silent worker is given up.
const RETENTION: Duration = Duration::from_secs(30);
/// The number of workers whose simultaneous silence has a common cause, such as a network partition.
/// Fewer may be crashed by as many tasks.
const COMMON_CAUSE_COUNT: usize = 5;
/// The same for workers of one rack.
const RACK_CAUSE_COUNT: usize = 3;

/// A worker that went silent.
#[derive(Debug, Clone)]
pub(super) struct Silence {
    /// When it went silent.
    pub(super) at: TimePoint,
    /// The worker.
    pub(super) worker: WorkerId,
    /// Its rack, if it is known.
    pub(super) rack: Option<SmolStr>,
    /// The jobs with runs that had just started on it.
    pub(super) starting_jobs: BTreeSet<JobId>,
    /// The job with a task on trial there.
    pub(super) trial_job: Option<JobId>,
}

/// The moments at which workers with runs went silent.
#[derive(Debug, Clone, Default)]
pub(super) struct SilenceLog {
    /// The silences, oldest first.
    silences: VecDeque<Silence>,
}

impl SilenceLog {
    /// Records that a worker went silent.
    pub(super) fn record(&mut self, silence: Silence) {
        let is_expired = |one: &mut Silence| silence.at.since(one.at) > RETENTION;
        while self.silences.pop_front_if(is_expired).is_some() {}
        self.silences.push_back(silence);
    }

    /// Removes the newest silence of a worker, which has answered again without a restart.
    pub(super) fn withdraw(&mut self, worker: &WorkerId) {
        let newest = self.silences.iter().rposition(|one| one.worker == *worker);
        if let Some(index) = newest {
            self.silences.remove(index);
        }
    }

    /// Returns the number of workers that went silent at about the same time.
    pub(super) fn count_around(&self, at: TimePoint) -> usize {
        let workers: BTreeSet<&WorkerId> = self.around(at).map(|one| &one.worker).collect();
        workers.len()
    }

    /// Returns whether so many workers went silent at about the same time that a common cause is
    /// likely.
    pub(super) fn has_common_cause(&self, at: TimePoint) -> bool {
        has_common_cause(self.around(at).map(|one| one.rack.as_ref()))
    }

    /// Returns whether a job had runs that had just started on most of the workers that went silent
    /// at about the same time, so that its tasks may be the common cause.
    pub(super) fn is_on_most(&self, at: TimePoint, job: JobId) -> bool {
        let has_job = |silence: &&Silence| silence.starting_jobs.contains(&job);
        let with_job = self.around(at).filter(has_job).count();
        with_job * 4 >= self.around(at).count() * 3
    }

    /// Returns whether all workers that went silent at about the same time had a task of a job on
    /// trial.
    pub(super) fn is_on_trial_everywhere(&self, at: TimePoint, job: JobId) -> bool {
        self.around(at).all(|one| one.trial_job == Some(job))
    }

    fn around(&self, at: TimePoint) -> impl Iterator<Item = &Silence> {
        let is_near = move |silence: &&Silence| {
            silence.at.since(at) <= SIMULTANEITY && at.since(silence.at) <= SIMULTANEITY
        };
        self.silences.iter().filter(is_near)
    }
}

/// Returns whether workers of these racks that went silent together are likely to have a common cause.
pub(super) fn has_common_cause<'a>(racks: impl Iterator<Item = Option<&'a SmolStr>>) -> bool {
    let mut count = 0;
    let mut rack_counts: BTreeMap<&SmolStr, usize> = BTreeMap::new();
    for rack in racks {
        count += 1;
        if let Some(rack) = rack {
            *rack_counts.entry(rack).or_default() += 1;
        }
    }
    let largest = rack_counts.into_values().max().unwrap_or_default();
    count >= COMMON_CAUSE_COUNT || largest >= RACK_CAUSE_COUNT
}
