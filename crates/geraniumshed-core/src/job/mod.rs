//! Batch jobs: what clients hand in, how far each job is, and what of it is stored.

mod chain;
mod entry;
mod id;
mod image;
mod queue;
mod request;
mod story;
mod task;

pub use chain::chains_from;
pub use entry::{JobEntry, JobPhase, Occurrence};
pub use id::{JobId, QueueName, ServiceName, StepKey, TaskKey, WorkerId};
pub use image::{JobImage, OccurrenceImage, TaskImage, TaskStage};
pub use queue::{AdvicePolicy, QueuePolicy, QueueTable};
pub use request::{JobRequest, RepeatPlan, StepRequest};
pub use story::JobStory;
pub use task::{TaskEntry, TaskPhase};
