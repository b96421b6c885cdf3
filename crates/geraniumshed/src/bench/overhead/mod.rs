//! `bench overhead`: the latency that the daemon adds to a request, over TCP on loopback.

mod echo;
mod measure;
mod stubs;

pub use self::measure::{OverheadOptions, PathFigures, measure, run_overhead};
