//! The usual speed of runs, to which the speed of a single run is compared.
//!
//! Clients' estimates are off by up to a factor of two, and all estimates of a queue may be off in the
//! same direction. A worker is slow only if its runs are slow compared with others like them.

use std::collections::BTreeMap;

use crate::job::{JobId, QueueName, StepKey};

/// The progress, in tasks, from which on the speed of a step's runs is known.
const MIN_STEP_WORK: f64 = 1.5;
/// The progress, in tasks, from which on the speed of a queue's runs is known.
const MIN_QUEUE_WORK: f64 = 5.0;
/// The progress, in tasks, over which the speed of a queue's runs is averaged.
const MAX_QUEUE_WORK: f64 = 50.0;
/// The largest factor between the usual speeds of a step and of its queue. A step with a larger one
/// has most of its tasks on slow workers.
const MAX_STEP_FACTOR: f64 = 2.2;

/// The usual speed of the runs of each step and queue, as a fraction of the speed that their estimates
/// suggest.
#[derive(Debug, Default)]
pub(super) struct PeerSpeeds {
    steps: BTreeMap<StepKey, MeanSpeed>,
    queues: BTreeMap<QueueName, MeanSpeed>,
}

/// A mean of observed speeds. Each has the weight of the progress that was made, so that a run that
/// hardly progresses hardly counts.
#[derive(Debug, Default, Clone, Copy)]
struct MeanSpeed {
    /// The progress, in tasks.
    work: f64,
    /// The sum of the speeds, weighted by progress.
    sum: f64,
}

impl MeanSpeed {
    fn add(&mut self, work: f64, speed: f64) {
        self.work += work;
        self.sum += work * speed;
    }

    /// Lowers the weight to an upper bound.
    fn limit(&mut self, work: f64) {
        if self.work > work {
            self.sum *= work / self.work;
            self.work = work;
        }
    }

    /// Returns the mean if it covers enough progress.
    fn mean(&self, min_work: f64) -> Option<f64> {
        (self.work >= min_work).then(|| self.sum / self.work)
    }
}

impl PeerSpeeds {
    /// Records the progress of a run, in tasks, and its speed as a fraction of the estimated one.
    pub(super) fn observe(&mut self, step: StepKey, queue: &QueueName, work: f64, speed: f64) {
        if work <= 0.0 {
            return;
        }
        self.steps.entry(step).or_default().add(work, speed);
        let known = self.queues.get_mut(queue);
        let mean = match known {
            Some(mean) => mean,
            None => self.queues.entry(queue.clone()).or_default(),
        };
        mean.add(work, speed);
        mean.limit(MAX_QUEUE_WORK);
    }

    /// Returns the usual speed of a step's runs as a fraction of the estimated one.
    pub(super) fn usual(&self, step: StepKey, queue: &QueueName) -> f64 {
        let of_queue = self.queues.get(queue);
        let of_queue = of_queue.and_then(|mean| mean.mean(MIN_QUEUE_WORK));
        let of_queue = of_queue.unwrap_or(1.0);
        let of_step = self.steps.get(&step);
        let of_step = of_step.and_then(|mean| mean.mean(MIN_STEP_WORK));
        of_step.map_or(of_queue, |speed| {
            speed.clamp(of_queue / MAX_STEP_FACTOR, of_queue * MAX_STEP_FACTOR)
        })
    }

    /// Forgets the steps of a job that has ended.
    pub(super) fn forget(&mut self, job: JobId) {
        let first = StepKey {
            job,
            occurrence: 0,
            step: 0,
        };
        let last = StepKey {
            job,
            occurrence: u32::MAX,
            step: u32::MAX,
        };
        let steps: Vec<StepKey> = self
            .steps
            .range(first..=last)
            .map(|(key, _)| *key)
            .collect();
        for step in steps {
            self.steps.remove(&step);
        }
    }
}
