//! Tests of who may start a task, over many orders of takeovers, crashes, late calls and answers.
//!
//! Real planners lead one after another, or at the same time. The store and the workers are models
//! of the platform's protocol. Each test checks the runs on the workers, not the planners' own view.
//!
//! `orders` takes steps one by one, and `faults` simulates whole nodes on a clock of their own.

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
