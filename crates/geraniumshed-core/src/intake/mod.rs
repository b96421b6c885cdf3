//! The path of submitted jobs from the accepting node to the store, and whether they are admitted.

mod admission;
mod append_monitor;

pub use admission::{AdmissionTable, AdmissionVerdict, JobOverload};
pub use append_monitor::{AppendMonitor, AppendRoute};
