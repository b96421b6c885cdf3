//! The queues that the accepted configuration names.

use std::collections::BTreeMap;
use std::time::Duration;

use super::id::{QueueName, ServiceName};

/// How the jobs of a queue are treated.
#[derive(Debug, Clone, PartialEq)]
pub struct QueuePolicy {
    /// The service whose workers run the tasks.
    pub service: ServiceName,
    /// The urgency; 0 goes first.
    pub priority: u32,
    /// The number of failed runs after which a task, and its job, has failed.
    pub attempt_limit: u32,
    /// The factor by which a job may take longer than its longest chain of tasks.
    pub stretch: f64,
    /// The time that a job may take beyond that.
    pub latency_objective: Duration,
    /// How it is found out which workers may run a step, where only some may.
    pub advice: Option<AdvicePolicy>,
}

/// How long it takes to find out which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvicePolicy {
    /// The time for each call.
    pub decision_time: Duration,
    /// The time for each worker that a call names.
    pub worker_time: Duration,
}

/// The queues of the newest configuration, and those of earlier ones that jobs still name.
#[derive(Debug, Clone, Default)]
pub struct QueueTable {
    current: BTreeMap<QueueName, QueuePolicy>,
    earlier: BTreeMap<QueueName, QueuePolicy>,
}

impl QueueTable {
    /// Replaces the queues in force.
    pub fn replace(&mut self, queues: BTreeMap<QueueName, QueuePolicy>) {
        let replaced = std::mem::replace(&mut self.current, queues);
        self.earlier.extend(replaced);
    }

    /// Returns the policy of a queue, also of one that was removed while jobs still name it.
    pub fn policy(&self, queue: &QueueName) -> Option<&QueuePolicy> {
        self.current.get(queue).or_else(|| self.earlier.get(queue))
    }
}
