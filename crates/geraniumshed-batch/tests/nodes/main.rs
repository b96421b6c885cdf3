//! Runs nodes with an in-memory store, worker and configuration.

mod calls;
mod cancellations;
mod config;
mod leadership;
mod odd_jobs;
mod odd_peers;
mod support;
