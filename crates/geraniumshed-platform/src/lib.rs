//! Clients of the platform's services: the log, the VM list and the workers.
//!
//! Each service has a small client trait, over which the daemon is generic. The `http` module
//! implements all three traits over the platform's HTTP interfaces.

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
