//! How best-effort runs raise the tail latencies of the runs beside them.

mod fit;
mod model;

pub use model::{InterferenceModel, LoadShare};
