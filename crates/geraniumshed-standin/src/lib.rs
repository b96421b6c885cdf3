//! Small stand-ins for the platform, workers and endpoints, with fault injection.
//!
//! Each stand-in serves its interface over loopback TCP and can fail in the ways in which the real
//! service does. The stand-ins record everything that runs in a shared history ([`history`]),
//! against which the promises are checked. The servers use hyper directly, since a fault may have
//! to abort a response at any byte, which warp does not support.

pub mod clock;
pub mod command;
pub mod endpoint;
pub mod http;
pub mod log;
pub mod proxy;

pub mod history;
pub mod seed;
pub mod set;
pub mod vm_list;
pub mod worker;

pub use self::log::LogServer;
pub use self::proxy::FaultProxy;

pub use self::history::{HistoryRecorder, PromiseReport};
pub use self::set::{StandinSet, StandinSettings};
pub use self::vm_list::VmListServer;
pub use self::worker::WorkerServer;
