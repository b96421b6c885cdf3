//! Every decision of geraniumshed, as deterministic aggregates.
//!
//! Nothing here does I/O, reads a clock or draws from a global generator: time and events come in
//! as arguments, actions go out as values, and one seed gives one run.

pub mod assignment;
pub mod intake;
pub mod job;
pub mod member;
pub mod membership;
pub mod request;
pub mod schedule;
pub mod state;
pub mod worker;
