//! Usage samples, which are reported with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use geraniumshed_model::prelude::{
    MemorySize, ProcessorShare, ResourceSize, TaskSignal, TaskUsage, TimePoint, TimeSpan,
    UsageReport,
};

use super::attempt::WorkerAttempt;

/// The number of samples that are kept.
const SAMPLE_LIMIT: usize = 64;

/// Recent usage samples; the newest one that is older than the reporting delay is reported.
#[derive(Debug, Default)]
pub(super) struct UsageHistory {
    samples: VecDeque<(TimePoint, Vec<TaskUsage>)>,
}

impl UsageHistory {
    /// Returns whether the last sample is at least `interval` old.
    pub(super) fn is_due(&self, now: TimePoint, interval: Duration) -> bool {
        let last = self.samples.back();
        last.is_none_or(|(at, _)| now.since(*at) >= interval)
    }

    /// Adds a sample and drops the oldest one when the history is full.
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

/// Returns the simulated usage of an attempt.
pub(super) fn measure(attempt: &WorkerAttempt) -> TaskUsage {
    let declared = attempt.spec.size;
    let processors = f64::from(declared.processors.0) * processor_load(attempt);
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
        Some(endpoint) => TaskSignal::Latency(endpoint.p99_latency()),
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

/// Returns the processor usage relative to the declared size.
fn processor_load(attempt: &WorkerAttempt) -> f64 {
    let share = f64::from(attempt.command.use_percent) / 100.0;
    match &attempt.endpoint {
        Some(endpoint) => share * endpoint.load(),
        None => attempt.load(),
    }
}
