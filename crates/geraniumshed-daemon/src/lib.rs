//! The daemon: converts I/O into inputs of `geraniumshed-core`, and the core's actions into I/O.
//!
//! Each module runs one part of `geraniumshed-core`. Modules see each other's state only through
//! the read-only views of [`view`], and append to the log through [`log`].

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
