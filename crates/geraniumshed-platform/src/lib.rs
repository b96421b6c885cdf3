//! Clients of what the platform gives: the log, the VM list and the workers.
//!
//! Each interface is a small trait, which the daemon is generic over. The `http` module implements
//! all three against the platform's HTTP interfaces.

pub mod error;
pub mod http;
pub mod log;
pub mod vm_list;
pub mod worker;

pub use self::error::PlatformError;
pub use self::http::{HttpLog, HttpTimeouts, HttpVmList, HttpWorkers};
pub use self::log::{LogClient, LogEntry, LogPage};
pub use self::vm_list::{ListVersion, VmList, VmPage};
pub use self::worker::WorkerClient;
