//! The leader task runs the planner, stores its changes and executes its actions.

mod actions;
mod dispatch;
mod event;
mod polling;
mod run;
mod start_delays;
mod step_timer;
mod takeover;
mod writer;

pub(crate) use actions::{CallOrigin, deliver_reply};
pub use event::LeaderHandle;
pub(crate) use event::LeaderQuery;
pub(crate) use run::{LeaderContext, LeaderEnd, ProbeRequest, run};
pub(crate) use start_delays::StartStage;
pub(crate) use step_timer::StepPart;
pub(crate) use takeover::{RecoveredState, claim, take_over};
