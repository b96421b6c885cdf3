//! The assignment of tasks to workers.
//!
//! [`JobPlanner`] alone decides when tasks start, stop and change speed. It receives events about
//! jobs and workers, and returns calls to workers and changes for the store. A task is started only
//! after its placement has been stored.

mod action;
mod advice;
mod backlog;
mod backlog_walk;
mod change_tracker;
mod crash_assessment;
mod crash_ledger;
mod departing_runs;
mod evacuation;
mod event;
mod fair_share;
mod forecast;
mod gang;
mod improvement_log;
mod interference;
mod job_start;
mod lease_ledger;
mod listed_run;
mod locality_wait;
mod model_schedule;
mod order_permit;
mod pacing;
mod peer_speeds;
mod placement_pass;
mod placement_query;
mod planner;
mod planner_work;
mod queue_load;
mod rank;
mod registry;
mod renewal_queue;
mod renewals;
mod run_end;
mod run_time;
mod settings;
mod silence_log;
mod start_history;
mod start_window;
mod starting;
mod step_candidates;
mod step_placement;
mod step_search;
mod stragglers;
mod supervision;
mod timely_set;
mod track_ledger;
mod trial;
mod unproved_loss;
mod wait_ledger;
mod worker_events;
mod worker_hold;
mod worker_index;
mod worker_loss;
mod worker_replies;
mod worker_restart;
mod worker_search;
mod worker_speed;
mod zone_evacuation;

pub use action::{CancelOutcome, JobStatus, PlannerAction, PlannerTime, StoreBatch, StoreChange};
pub use event::{
    AdoptedWorker, AnsweringWorker, DepartingWorker, EndedLocalityWait, EndedPressure, JobSummary,
    LocalityWait, LostRun, LostWorker, MissingRuns, MoveCause, MovedRun, NewProcess,
    PlacementSummary, PlannerEvent, PressureGroup, RestartSign, RestartedWorker, SilentWorker,
    SkippedEnds, SlowWorker, StartDelay, TaskTrial, UnexpectedRun, UnlistedEnds, UsualWorker,
    ZoneMove,
};
pub use forecast::{MAX_FORECAST_QUEUES, QueueWait, WaitForecast};
pub use interference::{
    InterferenceModel, InterferenceSnapshot, LoadShare, ServedImageRecord, SlopeRecord,
};
pub use lease_ledger::{LeaseSnapshot, UnconfirmedRun, WorkerLease};
pub use locality_wait::LocalityOutcome;
pub use placement_query::PlacementRefusal;
pub use planner::JobPlanner;
pub use planner_work::PlannerWork;
pub use rank::StepClass;
pub use settings::PlannerSettings;
pub use track_ledger::TrackSnapshot;
pub use wait_ledger::{IdleRun, StepWait, WaitSnapshot, WorkerHold};
pub use worker_loss::{RunStart, WorkerRunLoss};
