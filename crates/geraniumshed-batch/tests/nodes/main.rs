//! Runs nodes with an in-memory store, worker and configuration.

mod calls;
mod cancellations;
mod config;
mod couriers;
mod leadership;
mod leases;
mod odd_jobs;
mod odd_peers;
mod outages;
mod overload;
mod support;
mod zones;
