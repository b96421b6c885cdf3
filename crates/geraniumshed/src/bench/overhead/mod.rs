//! `bench overhead`: what the daemon adds to a request on loopback, over real TCP.

mod alone;
mod echo;
mod measure;

pub use self::measure::{OverheadOptions, WayFigures, measure, run_overhead};
