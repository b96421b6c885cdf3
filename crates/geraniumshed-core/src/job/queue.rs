//! The queues of the accepted configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use super::id::{QueueName, ServiceName};

/// The scheduling policy for the jobs of a queue.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuePolicy {
    /// The service whose workers run the tasks.
    pub service: ServiceName,
    /// The priority; 0 is the most urgent.
    pub priority: u32,
    /// The number of failed runs after which a task, and with it the job, fails.
    pub attempt_limit: u32,
    /// The factor by which a job may exceed its longest chain of tasks. A job is in time if it
    /// takes at most this factor times the chain plus `latency_objective`.
    pub stretch: f64,
    /// The time that a job may take in addition to the stretched chain.
    pub latency_objective: Duration,
    /// The cost of asking which workers may run a step, if the queue requires advice.
    pub advice: Option<AdvicePolicy>,
}

/// The expected duration of a call that asks which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvicePolicy {
    /// The fixed time per call.
    pub decision_time: Duration,
    /// The additional time per worker in a call.
    pub worker_time: Duration,
}

/// The queues of the newest configuration and, for jobs that still refer to them, removed ones.
#[derive(Debug, Clone, Default)]
pub struct QueueTable {
    current: BTreeMap<QueueName, QueuePolicy>,
    earlier: BTreeMap<QueueName, QueuePolicy>,
}

impl QueueTable {
    /// Replaces the queues in force and keeps the previous ones for jobs that refer to them.
    pub fn replace(&mut self, queues: BTreeMap<QueueName, QueuePolicy>) {
        let replaced = std::mem::replace(&mut self.current, queues);
        self.earlier.extend(replaced);
    }

    /// Returns the policy of a queue, including one that a later configuration removed.
    pub fn policy(&self, queue: &QueueName) -> Option<&QueuePolicy> {
        self.current.get(queue).or_else(|| self.earlier.get(queue))
    }
}
