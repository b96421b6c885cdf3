//! Reports of usage, which lag.

use std::collections::VecDeque;
use std::time::Duration;

use geraniumshed_model::prelude::{
    MemorySize, ProcessorShare, ResourceSize, TaskSignal, TaskUsage, TimePoint, TimeSpan,
    UsageReport,
};

use super::attempt::WorkerAttempt;

/// The samples that are kept.
const SAMPLE_LIMIT: usize = 64;

/// Samples of usage, of which the newest that is old enough is reported.
#[derive(Debug, Default)]
pub(super) struct UsageHistory {
    samples: VecDeque<(TimePoint, Vec<TaskUsage>)>,
}

impl UsageHistory {
    /// Tells whether the last sample is at least `pause` old.
    pub(super) fn is_due(&self, now: TimePoint, pause: Duration) -> bool {
        let last = self.samples.back();
        last.is_none_or(|(at, _)| now.since(*at) >= pause)
    }

    /// Adds a sample.
    pub(super) fn add(&mut self, now: TimePoint, tasks: Vec<TaskUsage>) {
        if self.samples.len() == SAMPLE_LIMIT {
            self.samples.pop_front();
        }
        self.samples.push_back((now, tasks));
    }

    /// Returns the newest sample that is at least `lag` old.
    pub(super) fn report(&self, now: TimePoint, lag: Duration) -> Option<UsageReport> {
        let (at, tasks) = self.samples.iter().rfind(|(at, _)| now.since(*at) >= lag)?;
        Some(UsageReport {
            age: TimeSpan(now.since(*at)),
            tasks: tasks.clone(),
        })
    }
}

/// Measures what an attempt uses.
pub(super) fn measure(attempt: &WorkerAttempt) -> TaskUsage {
    let declared = attempt.spec.size;
    let processors = f64::from(declared.processors.0) * load_share(attempt);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a share of a declared size is neither negative nor beyond the type"
    )]
    let processors = ProcessorShare(processors as u32);
    let memory = attempt.command.memory.unwrap_or(MemorySize(
        declared.memory.0 / 100 * u64::from(attempt.command.use_percent.min(100)),
    ));
    let signal = match &attempt.endpoint {
        Some(endpoint) => TaskSignal::Latency(endpoint.percentile_99()),
        None => TaskSignal::Progress(attempt.speed),
    };
    TaskUsage {
        task: attempt.spec.task.clone(),
        attempt: attempt.attempt,
        used: ResourceSize {
            processors,
            memory,
            accelerators: declared.accelerators,
        },
        signal,
    }
}

/// Returns the processors in use, relative to the declared ones.
fn load_share(attempt: &WorkerAttempt) -> f64 {
    let share = f64::from(attempt.command.use_percent) / 100.0;
    match &attempt.endpoint {
        Some(endpoint) => share * endpoint.load(),
        None => attempt.load(),
    }
}
