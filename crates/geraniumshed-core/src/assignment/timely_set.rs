//! The choice of the jobs that are kept in time while there is too little capacity for all.
//!
//! With least slack first, all jobs of an overload miss their objectives by a little. The
//! Moore-Hodgson algorithm keeps a set that can be finished in time, and lets the others be late at
//! once. It is applied to processor-seconds at the rate at which they are started.

use std::cmp::Ordering;
use std::collections::{BTreeSet, BinaryHeap};

use crate::job::JobId;

/// The occurrence of a job.
pub(super) type OccurrenceKey = (JobId, u32);

/// The part of a job's credit that doesn't depend on its work. Small jobs are worth more for each
/// processor-second than large ones, but not so much that no large job is kept.
const FIXED_CREDIT: f64 = 0.3;
/// The factor on the work of a job that was let late, so that a small change of the rate doesn't
/// bring it back for a moment.
const RETURN_FACTOR: f64 = 1.5;
/// The factor on the credit of a job that has begun, since the work done is lost if it is late.
const BEGUN_FACTOR: f64 = 1.5;

/// An occurrence of a job that can still be in time.
#[derive(Debug, Clone)]
pub(super) struct TimelyCandidate {
    pub(super) key: OccurrenceKey,
    /// The work that remains to be started, in processor-seconds.
    pub(super) remaining: f64,
    /// The work of the whole occurrence relative to the mean of its queue.
    pub(super) relative_work: f64,
    /// The work of its largest waiting task, in processor-seconds.
    pub(super) task_work: f64,
    /// The time until its last task has to start, in seconds.
    pub(super) start_limit: f64,
    /// Whether any of its tasks has been started.
    pub(super) has_begun: bool,
    /// Whether the choice before let it be late.
    pub(super) was_let_late: bool,
}

impl TimelyCandidate {
    /// Returns the work to be started, as far as the choice is concerned.
    fn counted_work(&self) -> f64 {
        let factor = if self.was_let_late {
            RETURN_FACTOR
        } else {
            1.0
        };
        self.remaining * factor
    }

    /// Returns the credit for each processor-second of remaining work.
    fn density(&self) -> f64 {
        let credit = FIXED_CREDIT + (1.0 - FIXED_CREDIT) * self.relative_work;
        let factor = if self.has_begun { BEGUN_FACTOR } else { 1.0 };
        credit * factor / self.counted_work().max(f64::EPSILON)
    }
}

/// A kept job. The one with the least credit for its work is the greatest.
#[derive(Debug)]
struct KeptJob {
    key: OccurrenceKey,
    work: f64,
    density: f64,
}

/// Returns the jobs that have to be late so that the others can be in time, if work is started at a
/// rate in processor-seconds per second.
pub(super) fn choose_late(
    mut candidates: Vec<TimelyCandidate>,
    rate: f64,
) -> BTreeSet<OccurrenceKey> {
    candidates.sort_by(|one, other| one.start_limit.total_cmp(&other.start_limit));
    let mut late = BTreeSet::new();
    let mut kept = BinaryHeap::new();
    let mut work = 0.0;
    for candidate in candidates {
        // The last task has only to start until then.
        let available = rate * candidate.start_limit + candidate.task_work;
        // One that can't be in time by itself displaces no other.
        if candidate.counted_work() > available {
            late.insert(candidate.key);
            continue;
        }
        work += candidate.counted_work();
        kept.push(KeptJob {
            key: candidate.key,
            work: candidate.counted_work(),
            density: candidate.density(),
        });
        while work > available {
            let Some(dropped) = kept.pop() else {
                break;
            };
            work -= dropped.work;
            late.insert(dropped.key);
        }
    }
    late
}

impl Ord for KeptJob {
    fn cmp(&self, other: &Self) -> Ordering {
        let densities = other.density.total_cmp(&self.density);
        // Of equal jobs, the later one is let late.
        densities.then(self.key.cmp(&other.key))
    }
}

impl PartialOrd for KeptJob {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for KeptJob {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for KeptJob {}
