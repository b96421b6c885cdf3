//! A stand-in for a worker, which runs simulated tasks under a lease.

mod attempt;
mod checkpoint;
mod interference;
mod recorder;
mod server;
mod state;
mod usage;

pub use self::checkpoint::CheckpointStore;
pub use self::interference::InterferenceMatrix;
pub use self::server::{WorkerServer, WorkerSwitch};
pub use self::state::{WorkerConfig, WorkerRefusal, WorkerState};
