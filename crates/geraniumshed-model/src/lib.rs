//! The domain model of geraniumshed: ids, sizes, rates, records, log events and errors.
//!
//! The types of this crate hold values and check that each value is valid by itself. They contain
//! no encoding and no I/O: `geraniumshed-wire` converts them to bytes and back, and
//! `geraniumshed-core` makes the scheduling decisions.

pub mod config_snapshot;
pub mod endpoint;
pub mod error;
pub mod event;
pub mod id;
pub mod peer;
pub mod prelude;
pub mod record;
pub mod resource;
pub mod task;
pub mod time;
pub mod vm;
pub mod worker;
