//! Misbehaving clients: real processes on loopback addresses, and crowds that press them.
//!
//! The tests check that a process lives, stays within memory and descriptors, and serves afterwards.
//! They assert no times and no share of served requests.

mod adapter;
mod crowd;
mod daemon;
#[path = "../faults/harness/mod.rs"]
#[allow(dead_code, unused_imports, reason = "other tests use the rest of it")]
mod harness;
mod process_size;

/// Lets one test at a time start processes and crowds.
static PROCESSES: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());
