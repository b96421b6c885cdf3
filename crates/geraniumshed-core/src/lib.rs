//! Every decision of geraniumshed, as deterministic aggregates.
//!
//! Nothing here does I/O, reads a clock or draws from a global generator: time and events come in
//! as arguments, actions go out as values, and one seed gives one run.

pub mod member;
pub mod request;
pub mod schedule;
pub mod state;
