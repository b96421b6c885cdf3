//! The planner over modelled workers and a modelled store, without network and clock.

mod adviser;
mod fixture;
mod leases;
mod loads;
mod model;
mod rules;
mod takeover;
