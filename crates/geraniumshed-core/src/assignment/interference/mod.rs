//! How best-effort runs raise the tail latencies of the runs beside them.

mod fit;
mod image;
mod model;

pub use image::{InterferenceImage, ServedImageRecord, SlopeImage};
pub use model::{InterferenceModel, LoadShare};
