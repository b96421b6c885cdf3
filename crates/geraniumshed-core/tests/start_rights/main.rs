//! Tests of who may start a task, over many orders of takeovers, crashes, late calls and answers.
//!
//! Real planners lead one after another, or at the same time. The store and the workers are models
//! of the platform's protocol. Each test checks the runs on the workers, not the planners' own view.

mod checker;
mod faults;
mod leader;
mod orders;
mod search;
mod simulation;
mod step;
mod store;
mod worker;
mod world;
