//! The assignment of tasks to workers.
//!
//! [`JobPlanner`] is the one place that starts, stops and paces tasks. It takes what is known of
//! jobs and workers as events, and hands out calls to workers and changes to be stored. Nothing is
//! sent to a worker before the change that it rests on is stored.

mod action;
mod advice;
mod ends;
mod gang;
mod interference;
mod ledger;
mod pacing;
mod pass;
mod placement;
mod placing;
mod planner;
mod registry;
mod settings;
mod upkeep;
mod worker_events;

pub use action::{
    CancelOutcome, JobStatus, PlannerAction, PlannerMoment, PlannerNote, StoreBatch, StoreChange,
};
pub use interference::{
    InterferenceImage, InterferenceModel, LoadShare, ServedImageRecord, SlopeImage,
};
pub use planner::JobPlanner;
pub use settings::PlannerSettings;
