//! The assignment of tasks to workers.
//!
//! [`JobPlanner`] is the one place that starts, stops and paces tasks. It takes what is known of
//! jobs and workers as events, and hands out calls to workers and changes to be stored. Nothing is
//! sent to a worker before the change that it rests on is stored.

mod action;
mod advice;
mod ends;
mod gang;
mod holding;
mod interference;
mod ledger;
mod note;
mod pacing;
mod pass;
mod placement;
mod placing;
mod planner;
mod rank;
mod registry;
mod renewals;
mod settings;
mod starting;
mod upkeep;
mod worker_events;

pub use action::{CancelOutcome, JobStatus, PlannerAction, PlannerMoment, StoreBatch, StoreChange};
pub use interference::{
    InterferenceImage, InterferenceModel, LoadShare, ServedImageRecord, SlopeImage,
};
pub use note::{JobSummary, LostRun, PlacementNote, PlannerNote};
pub use placement::PlacementRefusal;
pub use planner::JobPlanner;
pub use settings::PlannerSettings;
