//! The settings of the scheduler.

use std::time::Duration;

use super::interference::InterferenceSettings;
use super::ladder::LadderSettings;

/// The settings of the scheduler.
#[derive(Debug, Clone)]
pub struct SchedulerSettings {
    /// The length of a worker's lease.
    pub lease: Duration,
    /// The time between two renewals of a worker's lease.
    pub renewal: Duration,
    /// The time between two exchanges with a worker on which an attempt starts or stops.
    pub active_poll: Duration,
    /// The shortest time between two exchanges with a worker on which an attempt is about to end.
    pub end_poll: Duration,
    /// The time that a failed call to a worker waits before it is repeated.
    pub call_retry: Duration,
    /// The time that a new owner waits for its workers' inventories before it places replicas.
    pub inventory_wait: Duration,
    /// The age up to which the platform's list of VMs lags.
    pub list_lag: Duration,
    /// The time within which a daemon knows every record that any other daemon knew.
    pub config_lag: Duration,
    /// The margin for clocks that run at different rates.
    pub drift_margin: Duration,
    /// The delay of a tick from which the process counts as having been paused.
    pub pause_limit: Duration,
    /// The time that a replica of a service gets to finish its requests.
    pub service_grace: Duration,
    /// The time that a batch task gets to write its checkpoint.
    pub batch_grace: Duration,
    /// The time that a replica which is to stop waits for its successor.
    pub replace_wait: Duration,
    /// The time between publishing an endpoint as leaving and stopping its replica.
    pub leave_wait: Duration,
    /// The time that a batch task which may run twice gets when urgent work needs its room.
    pub preempt_grace: Duration,
    /// The time between two exchanges with a worker on which urgent work waits for room.
    pub urgent_poll: Duration,
    /// The time that a task waits for room in its shard before it moves to the next one.
    pub move_after: Duration,
    /// The time between two full lists of the shard's endpoints.
    pub endpoint_refresh: Duration,
    /// The shortest time between two reports of jobs' progress.
    pub progress_interval: Duration,
    /// The time between two requests for a worker's usage.
    pub usage_interval: Duration,
    /// The number of different jobs whose starts a worker fails before it is quarantined.
    pub quarantine_jobs: usize,
    /// The time after which a quarantined worker gets one task as a probe.
    pub probe_after: Duration,
    /// How colocated tasks' interference is learned and weighed.
    pub interference: InterferenceSettings,
    /// How the scheduler reacts to services that miss their latency goal.
    pub ladder: LadderSettings,
    /// Which worker is chosen among those that have room.
    pub policy: PlacementPolicy,
    /// The rules of the protocol.
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
            ladder: LadderSettings::default(),
            policy: PlacementPolicy::default(),
            rules: ProtocolRules::default(),
        }
    }
}

/// Which worker is chosen among those that have room for a batch task; replicas always spread.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum PlacementPolicy {
    /// The worker with the best score of packing, spreading and predicted interference.
    #[default]
    Scored,
    /// The first worker by id; the baseline of measurements.
    FirstFit,
}

/// The rules on which exactly-once execution rests; tests switch them off to see them missed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProtocolRules {
    /// Entries of a term below the barrier are void.
    pub check_term: bool,
    /// A placement is bound to one boot of its worker.
    pub check_boot: bool,
    /// A batch task starts only once its placement was read back from the log.
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
