//! When workers went silent, to tell the loss of a single worker from that of many.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use crate::job::WorkerId;

/// The longest time between two silences that count as simultaneous.
const SIMULTANEITY: Duration = Duration::from_millis(300);
/// How long a silence is remembered. It exceeds the time after which a silent worker is given up.
const RETENTION: Duration = Duration::from_secs(30);

/// The moments at which workers with runs went silent.
#[derive(Debug, Clone, Default)]
pub(super) struct SilenceLog {
    /// The silences, oldest first.
    silences: VecDeque<Silence>,
}

#[derive(Debug, Clone)]
struct Silence {
    at: TimePoint,
    worker: WorkerId,
}

impl SilenceLog {
    /// Records that a worker went silent.
    pub(super) fn record(&mut self, at: TimePoint, worker: WorkerId) {
        let is_expired = |silence: &mut Silence| at.since(silence.at) > RETENTION;
        while self.silences.pop_front_if(is_expired).is_some() {}
        self.silences.push_back(Silence { at, worker });
    }

    /// Returns the number of workers that went silent at about the same time.
    pub(super) fn count_around(&self, at: TimePoint) -> usize {
        let workers: BTreeSet<&WorkerId> = self.around(at).map(|one| &one.worker).collect();
        workers.len()
    }

    fn around(&self, at: TimePoint) -> impl Iterator<Item = &Silence> {
        let is_near = move |silence: &&Silence| {
            silence.at.since(at) <= SIMULTANEITY && at.since(silence.at) <= SIMULTANEITY
        };
        self.silences.iter().filter(is_near)
    }
}
