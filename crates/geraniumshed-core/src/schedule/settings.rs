//! The settings of the scheduler.

use std::time::Duration;

use super::interference::InterferenceSettings;
use super::latency_control::LatencyControlSettings;

/// The settings of the scheduler.
#[derive(Debug, Clone)]
pub struct SchedulerSettings {
    /// The length of a worker's lease.
    pub lease: Duration,
    /// The time between two renewals of a worker's lease.
    pub renewal: Duration,
    /// The time between two exchanges with a worker while an attempt starts or stops there.
    pub active_poll: Duration,
    /// The shortest time between two exchanges with a worker while an attempt is about to end.
    pub end_poll: Duration,
    /// The delay before a failed call to a worker or append to the log is retried.
    pub call_retry: Duration,
    /// The longest time that a new owner waits for all inventories before it places tasks.
    /// Urgent batch tasks don't wait.
    pub inventory_wait: Duration,
    /// The longest time by which the platform's list of VMs lags.
    pub list_lag: Duration,
    /// The time within which a daemon reads every record that any other daemon has read.
    pub config_lag: Duration,
    /// The margin for clocks that run at different rates.
    pub drift_margin: Duration,
    /// The time without any input after which the process counts as having been paused.
    pub pause_limit: Duration,
    /// The grace period in which a stopping replica finishes its requests.
    pub service_grace: Duration,
    /// The grace period in which a stopping batch task writes its checkpoint.
    pub batch_grace: Duration,
    /// The longest time that a drained replica keeps running until its replacement runs.
    pub replace_wait: Duration,
    /// The delay between publishing an endpoint as leaving and stopping its replica.
    pub leave_wait: Duration,
    /// The grace period of a preempted batch task that is idempotent.
    pub preempt_grace: Duration,
    /// The time between two exchanges with a worker while a preempted attempt stops there.
    pub urgent_poll: Duration,
    /// The time that a task waits for room before it moves to another shard; each move doubles it.
    pub move_after: Duration,
    /// The time between two publications of the full list of the shard's endpoints.
    pub endpoint_refresh: Duration,
    /// The shortest time between two reports of job progress.
    pub progress_interval: Duration,
    /// The time between two requests for a worker's usage report.
    pub usage_interval: Duration,
    /// The number of different records whose attempts fail on a worker before it is quarantined.
    pub quarantine_jobs: usize,
    /// The time after which one task is placed on a quarantined worker as a probe.
    pub probe_after: Duration,
    /// How the interference between colocated tasks is estimated and weighted.
    pub interference: InterferenceSettings,
    /// How the scheduler reacts to services that miss their latency goal.
    pub latency_control: LatencyControlSettings,
    /// How a worker is chosen among those that have room.
    pub policy: PlacementPolicy,
    /// The protocol rules that are enforced.
    pub rules: ProtocolRules,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(30),
            renewal: Duration::from_secs(10),
            active_poll: Duration::from_millis(250),
            end_poll: Duration::from_secs(1),
            call_retry: Duration::from_millis(500),
            inventory_wait: Duration::from_secs(2),
            list_lag: Duration::from_secs(15),
            config_lag: Duration::from_secs(13),
            drift_margin: Duration::from_secs(3),
            pause_limit: Duration::from_secs(5),
            service_grace: Duration::from_mins(1),
            batch_grace: Duration::from_secs(30),
            replace_wait: Duration::from_secs(30),
            leave_wait: Duration::from_secs(3),
            preempt_grace: Duration::from_millis(400),
            urgent_poll: Duration::from_millis(100),
            move_after: Duration::from_secs(2),
            endpoint_refresh: Duration::from_mins(5),
            progress_interval: Duration::from_secs(1),
            usage_interval: Duration::from_secs(20),
            quarantine_jobs: 3,
            probe_after: Duration::from_mins(1),
            interference: InterferenceSettings::default(),
            latency_control: LatencyControlSettings::default(),
            policy: PlacementPolicy::default(),
            rules: ProtocolRules::default(),
        }
    }
}

/// How a worker is chosen for a batch task among those that have room.
///
/// Replicas always use the score.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The worker with the best score of packing, spreading and predicted interference.
    #[default]
    Scored,
    /// The first worker by id; the baseline in benchmarks.
    FirstFit,
}

/// The rules that exactly-once execution depends on.
///
/// Tests turn them off one by one to show that each is needed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolRules {
    /// Log entries and calls of a term other than the current one have no effect.
    pub check_term: bool,
    /// An attempt may start only on the boot of the worker for which it was placed.
    pub check_boot: bool,
    /// A batch task starts only after its placement was read back from the log.
    pub log_before_start: bool,
}

impl Default for ProtocolRules {
    fn default() -> Self {
        Self {
            check_term: true,
            check_boot: true,
            log_before_start: true,
        }
    }
}
