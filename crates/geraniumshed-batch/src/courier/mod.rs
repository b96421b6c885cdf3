//! Couriers: nodes that call workers on behalf of the leader.
//!
//! The leader decides alone. With many workers, its calls to them would take most of the processor time
//! of its VM, so it passes them to couriers in batches, and they pass the answers back. A courier
//! decides nothing: a call that it doesn't answer counts as unanswered, like one to a worker, and the
//! leader then calls the worker itself.

mod link;
mod order;
mod roster;
mod session;

pub(crate) use link::{CourierLink, LinkCall};
pub(crate) use order::carry_out_in_time;
pub use order::{CourierOrder, CourierReply};
pub(crate) use roster::CourierRoster;
pub(crate) use session::CourierSessions;
