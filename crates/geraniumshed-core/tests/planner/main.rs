//! Tests of the planner with simulated workers and a simulated store, without network or real time.

mod adviser;
mod backlog;
mod builders;
mod capacity;
mod crashing_tasks;
mod draining;
mod events;
mod fixture;
mod forecast;
mod gangs;
mod leases;
mod listed_runs;
mod load_patterns;
mod locality;
mod odd_jobs;
mod pending_jobs;
mod planner_work;
mod removed_queues;
mod rules;
mod silent_workers;
mod simulation;
mod slow_workers;
mod succession;
mod takeover;
mod trials;
mod zones;
