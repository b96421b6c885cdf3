//! The daemon: turns I/O into events for the core's aggregates and their actions into I/O.
//!
//! Each folder drives one part of `geraniumshed-core`. Parts see each other's state only through
//! the read-only views of [`view`], and what they append goes through [`log`].

pub mod clock;
pub mod log;
pub mod node;
pub mod operator;
pub mod ownership;
pub mod peer;
pub mod request;
pub mod schedule;
pub mod settings;
pub mod state;
pub mod telemetry;
pub mod view;
