//! The stand-in of a worker: runs simulated tasks under one lease.

mod attempt;
mod checkpoint;
mod interference;
mod ledger;
mod server;
mod state;
mod usage;

pub use self::checkpoint::CheckpointStore;
pub use self::interference::InterferenceMatrix;
pub use self::server::{WorkerServer, WorkerSwitch};
pub use self::state::{WorkerConfig, WorkerRefusal, WorkerState};
