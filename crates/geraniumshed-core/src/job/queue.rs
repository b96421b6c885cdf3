//! The queues of the accepted configuration.

use std::collections::BTreeMap;
use std::time::Duration;

use super::id::{QueueName, ServiceName};

/// The multiple of the allowed time up to which a late job is still of use to its client.
pub const USABLE_FACTOR: u32 = 3;

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

impl QueuePolicy {
    /// Returns the time that a job with a longest chain of steps may take to meet the queue's
    /// objective, saturating on overflow.
    pub fn allowed_time(&self, chain: Duration) -> Duration {
        let stretched = Duration::try_from_secs_f64(chain.as_secs_f64() * self.stretch.max(1.0));
        stretched
            .unwrap_or(Duration::MAX)
            .saturating_add(self.latency_objective)
    }
}

/// The expected duration of a call that asks which workers may run a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdvicePolicy {
    /// The fixed time per call.
    pub decision_time: Duration,
    /// The additional time per worker in a call.
    pub worker_time: Duration,
}

/// The longest name of a queue whose policy is stored, in bytes. The keys of the store are limited.
const MAX_STORED_NAME_BYTES: usize = 200;

/// The queues of the newest configuration and, for jobs that still refer to them, removed ones.
///
/// The policies of queues with open jobs are stored, since a later leader may know only a configuration
/// that has removed them.
#[derive(Debug, Clone, Default)]
pub struct QueueTable {
    current: BTreeMap<QueueName, QueuePolicy>,
    earlier: BTreeMap<QueueName, QueuePolicy>,
    /// The number of open jobs of each queue that has any.
    open_jobs: BTreeMap<QueueName, usize>,
    /// The policies that the store holds once all changes that were taken are stored.
    stored: BTreeMap<QueueName, QueuePolicy>,
    /// Whether there are changes to store.
    is_due: bool,
}

impl QueueTable {
    /// Replaces the queues in force and keeps the previous ones for jobs that refer to them.
    pub fn replace(&mut self, queues: BTreeMap<QueueName, QueuePolicy>) {
        let replaced = std::mem::replace(&mut self.current, queues);
        self.earlier.extend(replaced);
        self.update_due();
    }

    /// Restores the policies that earlier leaders stored.
    pub fn restore(&mut self, stored: BTreeMap<QueueName, QueuePolicy>) {
        self.earlier.extend(stored.clone());
        self.stored = stored;
        self.update_due();
    }

    /// Returns the policy of a queue, including one that a later configuration removed.
    pub fn policy(&self, queue: &QueueName) -> Option<&QueuePolicy> {
        self.current.get(queue).or_else(|| self.earlier.get(queue))
    }

    /// Records that a job of a queue is open.
    pub fn job_opened(&mut self, queue: &QueueName) {
        let count = self.open_jobs.entry(queue.clone()).or_default();
        *count += 1;
        if *count == 1 {
            self.update_due();
        }
    }

    /// Records that a job of a queue has ended.
    pub fn job_closed(&mut self, queue: &QueueName) {
        let Some(count) = self.open_jobs.get_mut(queue) else {
            return;
        };
        *count -= 1;
        if *count == 0 {
            self.open_jobs.remove(queue);
            self.update_due();
        }
    }

    /// Returns whether there are policies to store or to remove.
    pub fn has_changes(&self) -> bool {
        self.is_due
    }

    /// Takes the policies to store, or to remove if there is none.
    pub fn take_changes(&mut self) -> Vec<(QueueName, Option<QueuePolicy>)> {
        if !self.is_due {
            return Vec::new();
        }
        self.is_due = false;
        let changes = self.changes();
        for (queue, policy) in &changes {
            match policy {
                Some(policy) => self.stored.insert(queue.clone(), policy.clone()),
                None => self.stored.remove(queue),
            };
        }
        changes
    }

    fn update_due(&mut self) {
        self.is_due = !self.changes().is_empty();
    }

    /// Returns the policies of queues with open jobs that aren't stored as they are now, and the stored
    /// queues that are removed and have no open job.
    fn changes(&self) -> Vec<(QueueName, Option<QueuePolicy>)> {
        let storable = self
            .open_jobs
            .keys()
            .filter(|queue| queue.0.len() <= MAX_STORED_NAME_BYTES);
        let new = storable.filter_map(|queue| {
            let policy = self.policy(queue)?;
            let is_stored = self.stored.get(queue) == Some(policy);
            (!is_stored).then(|| (queue.clone(), Some(policy.clone())))
        });
        let is_unused = |queue: &&QueueName| {
            !self.open_jobs.contains_key(*queue) && !self.current.contains_key(*queue)
        };
        let unused = self.stored.keys().filter(is_unused);
        new.chain(unused.map(|queue| (queue.clone(), None)))
            .collect()
    }
}
