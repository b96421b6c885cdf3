//! The work that was started over the last seconds while tasks waited for workers.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use geraniumshed_model::prelude::TimePoint;

use crate::job::{QueueName, ServiceName};

/// The time for which starts are kept. It is longer than most pauses between the ends of runs, and
/// short enough to follow a change of the load.
const WINDOW: Duration = Duration::from_secs(4);
/// The shortest time from whose starts a rate is derived. In less, a single large start decides.
const MIN_SPAN: Duration = Duration::from_secs(1);
/// The least number of started tasks from which a rate is derived, for the same reason.
const MIN_STARTS: usize = 8;
/// The wait of a job up to which its first tasks count as started at once. A placement pass without
/// any event follows after 200 ms.
const PROMPT_WAIT: Duration = Duration::from_millis(250);
/// The fraction of a queue's started first tasks from which on its jobs count as not held up, if that
/// fraction was started at once.
const PROMPT_FRACTION: f64 = 0.25;

/// The queues of a service with the same priority.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ServiceLevel {
    pub(super) service: ServiceName,
    pub(super) priority: u32,
}

/// The started tasks of a step.
#[derive(Debug)]
pub(super) struct StartedTasks<'a> {
    pub(super) level: ServiceLevel,
    pub(super) queue: &'a QueueName,
    pub(super) count: usize,
    /// The estimated work of all of them, in processor-seconds.
    pub(super) work: f64,
    /// Whether the job can no longer be in time.
    pub(super) is_late: bool,
    /// The time since the job was submitted, if the step is one of the first of its job.
    pub(super) first_wait: Option<Duration>,
}

/// The starts within an interval between two samples.
#[derive(Debug, Default)]
struct StartSample {
    begin: TimePoint,
    levels: BTreeMap<ServiceLevel, LevelStarts>,
    queues: BTreeMap<QueueName, FirstStarts>,
    /// The processors of the workers that took tasks when the interval began, by service.
    capacity: BTreeMap<ServiceName, f64>,
}

#[derive(Debug, Clone, Copy, Default)]
struct LevelStarts {
    count: usize,
    work: f64,
    /// The part of the work that belongs to late jobs.
    late_work: f64,
}

/// The first tasks of jobs that were started.
#[derive(Debug, Clone, Copy, Default)]
struct FirstStarts {
    prompt: usize,
    all: usize,
}

/// The work that was started over the last seconds while tasks waited for workers.
#[derive(Debug, Default)]
pub(super) struct StartHistory {
    samples: VecDeque<StartSample>,
}

impl StartHistory {
    /// Forgets all starts.
    pub(super) fn clear(&mut self) {
        self.samples.clear();
    }

    /// Begins a sample, and forgets those that are too old.
    pub(super) fn begin_sample(&mut self, now: TimePoint, capacity: BTreeMap<ServiceName, f64>) {
        let is_old = |sample: &mut StartSample| now.since(sample.begin) > WINDOW;
        while self.samples.pop_front_if(is_old).is_some() {}
        self.samples.push_back(StartSample {
            begin: now,
            capacity,
            ..StartSample::default()
        });
    }

    /// Records started tasks. Those before the first sample aren't counted.
    pub(super) fn record(&mut self, started: StartedTasks<'_>) {
        let Some(sample) = self.samples.back_mut() else {
            return;
        };
        let level = sample.levels.entry(started.level).or_default();
        level.count += started.count;
        level.work += started.work;
        if started.is_late {
            level.late_work += started.work;
        }
        if let Some(wait) = started.first_wait {
            let queue = sample.queues.entry(started.queue.clone()).or_default();
            queue.all += started.count;
            if wait <= PROMPT_WAIT {
                queue.prompt += started.count;
            }
        }
    }

    /// Returns the rate at which work of some levels of a service was started since a time, in
    /// processors, or `None` if too little was seen. It is scaled to the service's present capacity,
    /// and never higher than that.
    pub(super) fn rate(
        &self,
        levels: &[ServiceLevel],
        service: &ServiceName,
        since: TimePoint,
        now: TimePoint,
    ) -> Option<f64> {
        let begin = self.samples_since(since).next()?.begin;
        let span = now.since(begin);
        let starts = || {
            let samples = self.samples_since(since);
            samples.flat_map(|sample| levels.iter().filter_map(|level| sample.levels.get(level)))
        };
        let count: usize = starts().map(|one| one.count).sum();
        if span < MIN_SPAN || count < MIN_STARTS {
            return None;
        }
        let work: f64 = starts().map(|one| one.work).sum();
        let rate = work / span.as_secs_f64();
        let capacity = |sample: &StartSample| sample.capacity.get(service).copied();
        let present = self.samples.back().and_then(capacity)?;
        let known: Vec<f64> = self.samples_since(since).filter_map(capacity).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        let scaled = (rate * present / mean).min(present);
        (scaled > 0.0 && scaled.is_finite()).then_some(scaled)
    }

    /// Returns the fraction of a level's started work that belongs to late jobs, or `None` if the level
    /// hasn't waited for long enough to tell: in a short burst, late jobs are started after it.
    pub(super) fn late_fraction(
        &self,
        level: &ServiceLevel,
        since: TimePoint,
        now: TimePoint,
    ) -> Option<f64> {
        if now.since(since) < WINDOW {
            return None;
        }
        let samples = self.samples_since(since);
        let starts = samples.filter_map(|sample| sample.levels.get(level));
        let (late, all) = starts.fold((0.0, 0.0), |(late, all), one| {
            (late + one.late_work, all + one.work)
        });
        (all > 0.0).then(|| late / all)
    }

    /// Returns whether a good part of a queue's jobs was started at once since a time, although others
    /// waited.
    pub(super) fn starts_at_once(&self, queue: &QueueName, since: TimePoint) -> bool {
        let samples = self.samples_since(since);
        let starts = samples.filter_map(|sample| sample.queues.get(queue));
        let (prompt, all) = starts.fold((0, 0), |(prompt, all), one| {
            (prompt + one.prompt, all + one.all)
        });
        all > 0 && prompt as f64 >= all as f64 * PROMPT_FRACTION
    }

    fn samples_since(&self, since: TimePoint) -> impl Iterator<Item = &StartSample> {
        let samples = self.samples.iter();
        samples.filter(move |sample| sample.begin >= since)
    }
}
