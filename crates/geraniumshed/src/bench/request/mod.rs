//! `bench request`: request dispatch under load, compared with baselines and an ideal queue.

pub mod ideal;
pub mod model;
pub mod plot;
pub mod policies;
pub mod profile;
pub mod run;
pub mod summary;

pub use self::model::{ModelOptions, ModelReport, RequestEnd, run_model};
pub use self::profile::{LoadProfile, LoadRequest};
pub use self::run::{BenchError, RequestBenchOptions, run, run_command};
pub use self::summary::RunSummary;
