//! The leader: runs the planner, stores its changes and carries its calls out.

mod calls;
mod event;
mod feeds;
mod load;
mod run;
mod writer;

pub use event::LeaderHandle;
pub(crate) use event::LeaderQuery;
pub(crate) use load::{TakeOver, claim, take_over};
pub(crate) use run::{LeaderContext, LeaderEnd, StoreQuestion, run};
