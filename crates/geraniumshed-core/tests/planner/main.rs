//! The planner over modelled workers and a modelled store, without network and clock.

mod adviser;
mod builders;
mod fixture;
mod leases;
mod loads;
mod model;
mod notes;
mod rules;
mod takeover;
