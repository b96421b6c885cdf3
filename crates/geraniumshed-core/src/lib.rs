//! The decision logic of geraniumshed, as deterministic state machines.
//!
//! Nothing here does I/O, reads a clock or uses a global random number generator. Time and events
//! are arguments, actions are return values, and the same seed always gives the same run.

pub mod assignment;
pub mod intake;
pub mod job;
pub mod leadership;
pub mod member;
pub mod request;
pub mod schedule;
pub mod site;
pub mod state;
pub mod worker;
