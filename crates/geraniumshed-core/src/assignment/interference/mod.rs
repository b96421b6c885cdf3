//! The interference of best-effort runs with the tail latencies of runs on the same worker.
//!
//! A _served image_ is an image whose runs have a latency target.

mod fit;
mod model;
mod snapshot;

pub use model::{InterferenceModel, LoadShare};
pub use snapshot::{InterferenceSnapshot, ServedImageRecord, SlopeRecord};
