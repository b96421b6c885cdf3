//! The path of submitted jobs from the accepting node to the store.

mod append_monitor;

pub use append_monitor::{AppendMonitor, AppendRoute};
