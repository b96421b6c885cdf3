//! Counters and latency histograms of a node.

use std::collections::BTreeMap;
use std::fmt::{self, Debug, Formatter};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use geraniumshed_core::assignment::{
    JobSummary, LostWorker, MoveCause, PlannerEvent, PlannerWork, StepClass,
};
use geraniumshed_core::intake::StoreVerdict;
use geraniumshed_core::job::JobPhase;
use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use crate::leader::{StartStage, StepPart};
use crate::service::CallOutcome;
use crate::store::StoreError;

/// The upper bounds of the buckets of latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 12] = [
    0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0,
];
/// The upper bounds of the buckets of job durations, in seconds.
const JOB_BOUNDS: [f64; 10] = [1.0, 2.0, 3.0, 5.0, 8.0, 12.0, 20.0, 35.0, 60.0, 120.0];

/// The upper bounds of the buckets of how long the runs of lost workers waited, in seconds. They are
/// dense around the lengths of leases.
const LOSS_BOUNDS: [f64; 10] = [0.5, 1.0, 2.0, 3.0, 4.0, 5.0, 6.0, 7.0, 10.0, 20.0];

/// The kind of a client's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum CallKind {
    /// Submits a job.
    Submit,
    /// Returns the phase of a job.
    Status,
    /// Cancels a job.
    Cancel,
    /// Counts the jobs of a queue of which no task has started.
    Pending,
}

/// The labels of a client's call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallLabels {
    /// The kind of the call.
    pub call: CallKind,
    /// The outcome of the call.
    pub outcome: &'static str,
}

/// The labels of a call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    /// The outcome.
    pub outcome: &'static str,
}

/// The labels of a run that ended without success.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    /// The reason.
    pub reason: &'static str,
}

/// The labels of a job that ended.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct EndLabels {
    /// The final phase.
    pub phase: &'static str,
    /// Whether it ended within its objective.
    pub in_time: &'static str,
}

/// What became of a job that was judged by a forecast of waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub(crate) enum AdmissionName {
    /// It can still be of use.
    Admitted,
    /// It is rejected.
    Rejected,
    /// It would be rejected, but the leader knows it already.
    Known,
    /// It would be rejected, but the leader hasn't told in time whether it knows it.
    Unconfirmed,
}

/// The labels of a job that was judged by a forecast of waits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AdmissionLabels {
    /// The priority of the job's queue.
    pub priority: u32,
    /// What became of the job.
    pub verdict: AdmissionName,
}

/// The labels of a read of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ConfigLabels {
    /// Where the configuration is read: `store` or `peer`.
    pub source: &'static str,
    /// The outcome.
    pub outcome: &'static str,
}

/// The labels of a stage of a run's start.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct StageLabels {
    /// The stage.
    pub stage: &'static str,
    /// The priority of the job's queue.
    pub priority: u32,
}

/// The labels of a part of the leader's steps.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct PartLabels {
    /// The part.
    pub part: &'static str,
}

/// The labels of a count of the planner's work.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct WorkLabels {
    /// What is counted.
    pub kind: &'static str,
}

/// The labels of a number of waiting steps.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct BacklogLabels {
    /// The priority of the queue.
    pub priority: u32,
    /// Whether the job can be in time.
    pub class: &'static str,
}

/// Counters and latency histograms of a node. Clones share them.
#[derive(Clone)]
pub struct NodeMetrics {
    registry: Arc<Registry>,
    calls: Family<CallLabels, Counter>,
    call_seconds: Family<CallLabels, Histogram, fn() -> Histogram>,
    /// How the store serves the node.
    store_verdict: Gauge,
    refused_jobs: Family<ReasonLabels, Counter>,
    admissions: Family<AdmissionLabels, Counter>,
    forecast_wait_seconds: Histogram,
    /// The appends that store jobs and progress.
    pub(crate) appends: Family<OutcomeLabels, Counter>,
    /// The duration of these appends.
    pub(crate) append_seconds: Histogram,
    /// The tasks that were placed on workers.
    pub(crate) placements: Counter,
    /// The steps that started to wait for a worker.
    pub(crate) waiting_steps: Counter,
    /// The runs that were on trial.
    pub(crate) trial_runs: Counter,
    /// The tasks that were given up because they crash workers.
    pub(crate) crashing_tasks: Counter,
    /// The runs that ended without success.
    pub(crate) lost_runs: Family<ReasonLabels, Counter>,
    /// The runs that were stopped to be placed on other workers.
    pub(crate) moved_runs: Family<ReasonLabels, Counter>,
    /// The times that a worker was found to be slow.
    pub(crate) slow_workers: Counter,
    /// The runs and ends that workers listed although they weren't those of the newest known runs.
    pub(crate) unexpected_runs: Counter,
    /// The time for which the runs of lost workers waited to be given up.
    pub(crate) worker_loss_seconds: Histogram,
    /// The jobs that ended.
    pub(crate) ended_jobs: Family<EndLabels, Counter>,
    /// The time from the submission of a job to its completion.
    pub(crate) job_seconds: Histogram,
    /// The time from the submission of a job to its first placement.
    pub(crate) wait_seconds: Histogram,
    start_seconds: Family<StageLabels, Histogram, fn() -> Histogram>,
    renewal_gap_seconds: Histogram,
    step_seconds: Family<PartLabels, Histogram, fn() -> Histogram>,
    queue_seconds: Histogram,
    planner_work: Family<WorkLabels, Counter>,
    backlog: Family<BacklogLabels, Gauge>,
    /// The nodes that call workers for this one.
    pub(crate) couriers: Gauge,
    /// 1 while this process leads.
    pub(crate) leading: Gauge,
    /// The availability zones in which no task starts.
    pub(crate) evacuated_zones: Gauge,
    /// The long-running runs that were stopped to move out of evacuated zones.
    zone_moves: Counter,
    locality_waits: Family<ReasonLabels, Counter>,
    /// The version of the configuration in force.
    pub(crate) config_version: Gauge,
    client_refusals: Family<ReasonLabels, Counter>,
    client_memory: Gauge,
    config_reads: Family<ConfigLabels, Counter>,
    config_read_seconds: Family<ConfigLabels, Histogram, fn() -> Histogram>,
    /// The time that decoding a configuration takes.
    pub(crate) config_decode_seconds: Histogram,
    /// The time from noticing a configuration until it is in force.
    pub(crate) config_apply_seconds: Histogram,
}

impl Debug for NodeMetrics {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("NodeMetrics").finish_non_exhaustive()
    }
}

impl Default for NodeMetrics {
    fn default() -> Self {
        Self::open()
    }
}

impl NodeMetrics {
    /// Creates metrics that start at zero.
    pub fn open() -> Self {
        let latency: fn() -> Histogram = || Histogram::new(LATENCY_BOUNDS);
        let metrics = Self {
            registry: Arc::new(Registry::default()),
            calls: Family::default(),
            call_seconds: Family::new_with_constructor(latency),
            store_verdict: Gauge::default(),
            refused_jobs: Family::default(),
            admissions: Family::default(),
            forecast_wait_seconds: Histogram::new(JOB_BOUNDS),
            appends: Family::default(),
            append_seconds: latency(),
            placements: Counter::default(),
            waiting_steps: Counter::default(),
            trial_runs: Counter::default(),
            crashing_tasks: Counter::default(),
            lost_runs: Family::default(),
            moved_runs: Family::default(),
            slow_workers: Counter::default(),
            unexpected_runs: Counter::default(),
            worker_loss_seconds: Histogram::new(LOSS_BOUNDS),
            ended_jobs: Family::default(),
            job_seconds: Histogram::new(JOB_BOUNDS),
            wait_seconds: latency(),
            start_seconds: Family::new_with_constructor(latency),
            renewal_gap_seconds: latency(),
            step_seconds: Family::new_with_constructor(latency),
            queue_seconds: latency(),
            planner_work: Family::default(),
            backlog: Family::default(),
            couriers: Gauge::default(),
            leading: Gauge::default(),
            evacuated_zones: Gauge::default(),
            zone_moves: Counter::default(),
            locality_waits: Family::default(),
            config_version: Gauge::default(),
            client_refusals: Family::default(),
            client_memory: Gauge::default(),
            config_reads: Family::default(),
            config_read_seconds: Family::new_with_constructor(latency),
            config_decode_seconds: latency(),
            config_apply_seconds: latency(),
        };
        metrics.create_default_series();
        Self {
            registry: Arc::new(metrics.register()),
            ..metrics
        }
    }

    /// Sets how often clients were refused for a reason.
    pub fn record_refusals(&self, reason: &'static str, total: u64) {
        let counter = self
            .client_refusals
            .get_or_create_owned(&ReasonLabels { reason });
        counter.inner().store(total, Ordering::Relaxed);
    }

    /// Sets the memory in bytes that clients' requests hold.
    pub fn record_client_memory(&self, bytes: usize) {
        self.client_memory
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Creates the most common series, so that they are exported as 0 from the start.
    fn create_default_series(&self) {
        let call = CallLabels {
            call: CallKind::Submit,
            outcome: outcome_name(CallOutcome::Accepted),
        };
        drop(self.calls.get_or_create(&call));
        drop(self.call_seconds.get_or_create(&call));
        let admission = AdmissionLabels {
            priority: 0,
            verdict: AdmissionName::Rejected,
        };
        drop(self.admissions.get_or_create(&admission));
        let outcome = append_outcome(&Ok(()));
        drop(self.appends.get_or_create(&OutcomeLabels { outcome }));
        for verdict in [
            StoreVerdict::Serving,
            StoreVerdict::Refusing,
            StoreVerdict::Silent,
        ] {
            let reason = refusal_reason(verdict);
            drop(self.refused_jobs.get_or_create(&ReasonLabels { reason }));
        }
        let near = ReasonLabels { reason: "near" };
        drop(self.locality_waits.get_or_create(&near));
        let lost = ReasonLabels { reason: "failed" };
        drop(self.lost_runs.get_or_create(&lost));
        for cause in [MoveCause::Slow, MoveCause::Leaving] {
            let labels = ReasonLabels {
                reason: cause.name(),
            };
            drop(self.moved_runs.get_or_create(&labels));
        }
        let refused = ReasonLabels { reason: "memory" };
        drop(self.client_refusals.get_or_create(&refused));
        let ended = EndLabels {
            phase: phase_name(JobPhase::Completed),
            in_time: "yes",
        };
        drop(self.ended_jobs.get_or_create(&ended));
        let read = ConfigLabels {
            source: "store",
            outcome: "read",
        };
        drop(self.config_reads.get_or_create(&read));
        for part in StepPart::ALL {
            let labels = PartLabels { part: part.name() };
            drop(self.step_seconds.get_or_create(&labels));
        }
        for stage in StartStage::ALL {
            let labels = StageLabels {
                stage: stage.name(),
                priority: 0,
            };
            drop(self.start_seconds.get_or_create(&labels));
        }
        self.record_work(&PlannerWork::default());
        self.record_backlog(&BTreeMap::new());
        drop(self.config_read_seconds.get_or_create(&read));
    }

    fn register(&self) -> Registry {
        let mut registry = Registry::with_prefix("geraniumshed");
        registry.register("calls", "Clients' calls", self.calls.clone());
        registry.register(
            "call_seconds",
            "The time to the answer of a client's call",
            self.call_seconds.clone(),
        );
        self.register_admissions(&mut registry);
        self.register_store(&mut registry);
        self.register_clients(&mut registry);
        self.register_runs(&mut registry);
        registry.register(
            "worker_loss_seconds",
            "The time from the last answer of a worker with runs, or from the takeover, until it is given up",
            self.worker_loss_seconds.clone(),
        );
        registry.register(
            "ended_jobs",
            "Jobs that came to their end",
            self.ended_jobs.clone(),
        );
        registry.register(
            "job_seconds",
            "The time from handing a job in to its completion",
            self.job_seconds.clone(),
        );
        registry.register(
            "wait_seconds",
            "The time from handing a job in to its first placement",
            self.wait_seconds.clone(),
        );
        registry.register(
            "start_seconds",
            "The time that a stage of a run's start takes",
            self.start_seconds.clone(),
        );
        registry.register(
            "renewal_gap_seconds",
            "The time for which a worker with runs has no open renewal",
            self.renewal_gap_seconds.clone(),
        );
        registry.register(
            "step_seconds",
            "The time that a part of a leader's step takes",
            self.step_seconds.clone(),
        );
        registry.register(
            "queue_seconds",
            "The longest time that an event was queued before a leader's step",
            self.queue_seconds.clone(),
        );
        registry.register(
            "planner_work",
            "The work of the planner",
            self.planner_work.clone(),
        );
        registry.register(
            "backlog",
            "The steps that wait because no worker takes their tasks",
            self.backlog.clone(),
        );
        registry.register(
            "couriers",
            "The nodes that call workers for this one while it leads",
            self.couriers.clone(),
        );
        registry.register("leading", "1 while the process leads", self.leading.clone());
        self.register_zones(&mut registry);
        registry.register(
            "config_version",
            "The version of the configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "config_reads",
            "Reads of the configuration",
            self.config_reads.clone(),
        );
        registry.register(
            "config_read_seconds",
            "The time that a read of the configuration takes",
            self.config_read_seconds.clone(),
        );
        registry.register(
            "config_decode_seconds",
            "The time that decoding a configuration takes",
            self.config_decode_seconds.clone(),
        );
        registry.register(
            "config_apply_seconds",
            "The time from noticing a configuration until it is in force",
            self.config_apply_seconds.clone(),
        );
        registry
    }

    /// Registers the metrics of evacuated zones and of waits for racks.
    fn register_zones(&self, registry: &mut Registry) {
        registry.register(
            "locality_waits",
            "Steps that waited for places in a rack",
            self.locality_waits.clone(),
        );
        registry.register(
            "evacuated_zones",
            "The availability zones in which no task starts, as far as this node knows",
            self.evacuated_zones.clone(),
        );
        registry.register(
            "zone_moves",
            "Long-running runs that were stopped to move out of evacuated zones",
            self.zone_moves.clone(),
        );
    }

    /// Registers what tells how the store serves the node.
    fn register_store(&self, registry: &mut Registry) {
        registry.register(
            "store_verdict",
            "How the store serves the node: 0 serving, 1 slow, 2 refusing, 3 silent",
            self.store_verdict.clone(),
        );
        registry.register(
            "refused_jobs",
            "Jobs that were refused and are certainly not stored",
            self.refused_jobs.clone(),
        );
        registry.register("appends", "Appends to the store", self.appends.clone());
        registry.register(
            "append_seconds",
            "The time that an append to the store takes",
            self.append_seconds.clone(),
        );
    }

    fn register_clients(&self, registry: &mut Registry) {
        registry.register(
            "client_refusals",
            "Requests and connections of clients that were refused before they ran",
            self.client_refusals.clone(),
        );
        registry.register(
            "client_memory_bytes",
            "The memory for clients' requests that are not answered yet",
            self.client_memory.clone(),
        );
    }

    /// Registers what the admission of jobs counts.
    fn register_admissions(&self, registry: &mut Registry) {
        registry.register(
            "admissions",
            "Jobs of queues with a forecast of their wait",
            self.admissions.clone(),
        );
        registry.register(
            "forecast_wait_seconds",
            "The forecast wait of these jobs, once late, for a worker",
            self.forecast_wait_seconds.clone(),
        );
    }

    /// Registers the counters of placements and of the ends of runs.
    fn register_runs(&self, registry: &mut Registry) {
        registry.register(
            "placements",
            "Tasks that got workers",
            self.placements.clone(),
        );
        registry.register(
            "waiting_steps",
            "Steps that began to wait for a worker",
            self.waiting_steps.clone(),
        );
        registry.register(
            "trial_runs",
            "Runs on trial, since workers crashed under earlier runs of their tasks",
            self.trial_runs.clone(),
        );
        registry.register(
            "crashing_tasks",
            "Tasks that were given up with their jobs, since they crash workers",
            self.crashing_tasks.clone(),
        );
        registry.register(
            "lost_runs",
            "Runs that ended without success",
            self.lost_runs.clone(),
        );
        registry.register(
            "moved_runs",
            "Runs that were stopped to be placed on other workers",
            self.moved_runs.clone(),
        );
        registry.register(
            "slow_workers",
            "Times that a worker was found to be slow",
            self.slow_workers.clone(),
        );
        registry.register(
            "unexpected_runs",
            "Runs and ends that workers list, but that are not those of the newest runs of their tasks",
            self.unexpected_runs.clone(),
        );
    }

    /// Counts a read of the configuration.
    pub(crate) fn record_config_read(&self, labels: ConfigLabels, taken: Duration) {
        self.config_reads.get_or_create(&labels).inc();
        let seconds = self.config_read_seconds.get_or_create(&labels);
        seconds.observe(taken.as_secs_f64());
    }

    /// Counts the answer to a client's call.
    pub(crate) fn record_call(&self, call: CallKind, outcome: CallOutcome, taken: Duration) {
        let labels = CallLabels {
            call,
            outcome: outcome_name(outcome),
        };
        self.calls.get_or_create(&labels).inc();
        let seconds = self.call_seconds.get_or_create(&labels);
        seconds.observe(taken.as_secs_f64());
    }

    /// Records how the store serves the node.
    pub(crate) fn record_store_verdict(&self, verdict: StoreVerdict) {
        self.store_verdict.set(match verdict {
            StoreVerdict::Serving => 0,
            StoreVerdict::Slow => 1,
            StoreVerdict::Refusing => 2,
            StoreVerdict::Silent => 3,
        });
    }

    /// Counts a job that was refused while the store was judged so.
    pub(crate) fn record_refused_job(&self, verdict: StoreVerdict) {
        let reason = refusal_reason(verdict);
        let labels = ReasonLabels { reason };
        self.refused_jobs.get_or_create(&labels).inc();
    }

    /// Counts a job that was judged by a forecast of its wait.
    pub(crate) fn record_admission(&self, priority: u32, verdict: AdmissionName, wait: Duration) {
        let labels = AdmissionLabels { priority, verdict };
        self.admissions.get_or_create(&labels).inc();
        self.forecast_wait_seconds.observe(wait.as_secs_f64());
    }

    /// Counts an append.
    pub(crate) fn record_append<T>(&self, result: &Result<T, StoreError>, taken: Duration) {
        let labels = OutcomeLabels {
            outcome: append_outcome(result),
        };
        self.appends.get_or_create(&labels).inc();
        self.append_seconds.observe(taken.as_secs_f64());
    }

    /// Records the duration of a part of a leader's step.
    pub(crate) fn record_step_part(&self, part: StepPart, taken: Duration) {
        let labels = PartLabels { part: part.name() };
        let seconds = self.step_seconds.get_or_create(&labels);
        seconds.observe(taken.as_secs_f64());
    }

    fn record_stage(&self, stage: StartStage, priority: u32, taken: Duration) {
        let labels = StageLabels {
            stage: stage.name(),
            priority,
        };
        let seconds = self.start_seconds.get_or_create(&labels);
        seconds.observe(taken.as_secs_f64());
    }

    /// Records the longest time that an event was queued before a leader's step.
    pub(crate) fn record_queue_time(&self, queued: Duration) {
        self.queue_seconds.observe(queued.as_secs_f64());
    }

    /// Sets the number of steps that wait, by priority and class.
    pub(crate) fn record_backlog(&self, counts: &BTreeMap<(u32, StepClass), usize>) {
        self.backlog.clear();
        // The most urgent priority is exported as 0 while nothing waits.
        for class in StepClass::ALL {
            let labels = BacklogLabels {
                priority: 0,
                class: class.name(),
            };
            drop(self.backlog.get_or_create(&labels));
        }
        for ((priority, class), count) in counts {
            let labels = BacklogLabels {
                priority: *priority,
                class: class.name(),
            };
            let count = i64::try_from(*count).unwrap_or(i64::MAX);
            self.backlog.get_or_create(&labels).set(count);
        }
    }

    /// Counts the planner's work.
    pub(crate) fn record_work(&self, done: &PlannerWork) {
        let counts = [
            ("passes", done.passes),
            ("examined_jobs", done.examined_jobs),
            ("ready_steps", done.ready_steps),
            ("searches", done.searches),
            ("compared_workers", done.compared_workers),
            ("pressure_forecasts", done.pressure_forecasts),
        ];
        for (kind, count) in counts {
            let labels = WorkLabels { kind };
            self.planner_work.get_or_create(&labels).inc_by(count);
        }
    }

    /// Counts an event of the planner.
    pub(crate) fn record_event(&self, event: &PlannerEvent) {
        match event {
            PlannerEvent::StepPlaced(placement) => {
                self.placements.inc_by(placement.placed as u64);
                let (priority, ready_for) = (placement.priority, placement.ready_for);
                self.record_stage(StartStage::Placed, priority, ready_for);
            }
            PlannerEvent::RunStarted(delay) => {
                self.record_stage(StartStage::Stored, delay.priority, delay.stored);
                self.record_stage(StartStage::Confirmed, delay.priority, delay.confirmed);
            }
            PlannerEvent::RenewalSent(gap) => {
                self.renewal_gap_seconds.observe(gap.as_secs_f64());
            }
            PlannerEvent::StepWaiting(..) => {
                self.waiting_steps.inc();
            }
            PlannerEvent::RunLost(lost) => {
                let labels = ReasonLabels {
                    reason: lost.reason,
                };
                self.lost_runs.get_or_create(&labels).inc();
            }
            PlannerEvent::RunUnexpected(_) => {
                self.unexpected_runs.inc();
            }
            PlannerEvent::JobEnded(summary) => self.job_ended(summary),
            PlannerEvent::WorkerLost(lost) => self.worker_lost(lost),
            PlannerEvent::RunMoved(moved) => {
                let labels = ReasonLabels {
                    reason: moved.cause.name(),
                };
                self.moved_runs.get_or_create(&labels).inc();
            }
            PlannerEvent::WorkerSlow(_) => {
                self.slow_workers.inc();
            }
            PlannerEvent::LocalityWaitEnded(ended) => {
                let labels = ReasonLabels {
                    reason: ended.outcome.name(),
                };
                self.locality_waits.get_or_create(&labels).inc();
            }
            PlannerEvent::LocalityWaitBegan(_)
            | PlannerEvent::PressureBegan(_)
            | PlannerEvent::PressureEnded(_)
            | PlannerEvent::WorkerQuarantined(_)
            | PlannerEvent::WorkerUsual(_)
            | PlannerEvent::WorkerSilent(_)
            | PlannerEvent::WorkerAnswering(_)
            | PlannerEvent::WorkerDeparting(_)
            | PlannerEvent::WorkerRestarted(_)
            | PlannerEvent::RestartSeen(_)
            | PlannerEvent::EndsUnlisted(_)
            | PlannerEvent::EndsSkipped(_)
            | PlannerEvent::RunsMissing(_)
            | PlannerEvent::WorkerAdopted(_)
            | PlannerEvent::ZoneUnknown(_) => {}
            PlannerEvent::ZoneMoveBegun(_) => {
                self.zone_moves.inc();
            }
            PlannerEvent::TrialBegun(_) => {
                self.trial_runs.inc();
            }
            PlannerEvent::TaskGivenUp(_) => {
                self.crashing_tasks.inc();
            }
        }
    }

    fn worker_lost(&self, lost: &LostWorker) {
        if lost.runs > 0 {
            self.worker_loss_seconds
                .observe(lost.waited().as_secs_f64());
        }
    }

    fn job_ended(&self, summary: &JobSummary) {
        let labels = EndLabels {
            phase: phase_name(summary.phase),
            in_time: in_time(summary),
        };
        self.ended_jobs.get_or_create(&labels).inc();
        if summary.phase == JobPhase::Completed {
            self.job_seconds.observe(summary.age.as_secs_f64());
        }
        if let Some(wait) = summary.first_placed {
            self.wait_seconds.observe(wait.as_secs_f64());
        }
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::error!(error:% = error; "could not encode the metrics");
        }
        text
    }
}

/// Returns the name of an outcome in logs and metrics.
pub(crate) fn outcome_name(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Accepted => "accepted",
        CallOutcome::Status(phase) => phase_name(phase),
        CallOutcome::Cancelled => "cancelled",
        CallOutcome::Unknown => "unknown",
        CallOutcome::Pending(_) => "counted",
        CallOutcome::Unavailable(_) => "unavailable",
        CallOutcome::Undecided => "undecided",
        CallOutcome::Overloaded(_) => "overloaded",
    }
}

/// Returns the name of a phase in logs and metrics.
pub(crate) fn phase_name(phase: JobPhase) -> &'static str {
    match phase {
        JobPhase::Queued => "queued",
        JobPhase::Running => "running",
        JobPhase::Completed => "completed",
        JobPhase::Failed => "failed",
        JobPhase::Cancelled => "cancelled",
    }
}

/// Returns the label of whether a job ended within its objective: `yes`, `no` or `unknown`.
pub(crate) fn in_time(summary: &JobSummary) -> &'static str {
    match summary.allowed {
        Some(allowed) if summary.age <= allowed => "yes",
        Some(_) => "no",
        None => "unknown",
    }
}

/// Returns the reason why a job is refused, by the verdict on the store.
fn refusal_reason(verdict: StoreVerdict) -> &'static str {
    match verdict {
        StoreVerdict::Serving | StoreVerdict::Slow => "not stored",
        StoreVerdict::Refusing => "store refuses",
        StoreVerdict::Silent => "store is silent",
    }
}

fn append_outcome<T>(result: &Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "stored",
        Err(StoreError::Refused) => "refused",
        Err(StoreError::Unanswered) => "unanswered",
        Err(StoreError::Fenced) => "fenced",
        Err(_) => "invalid",
    }
}
