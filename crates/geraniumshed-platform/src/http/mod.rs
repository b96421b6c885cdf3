//! Clients of the platform's HTTP interfaces.

mod log;
mod transport;
mod vm_list;
mod worker;

pub use self::log::HttpLog;
pub use self::transport::HttpTimeouts;
pub use self::vm_list::HttpVmList;
pub use self::worker::HttpWorkers;
