//! The vocabulary of geraniumshed: ids, sizes, rates, records, log events and errors.
//!
//! The types of this crate hold values and the rules that make one value valid. They know nothing
//! of encodings or of I/O: `geraniumshed-wire` converts them to bytes and back, and
//! `geraniumshed-core` takes decisions over them.

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
