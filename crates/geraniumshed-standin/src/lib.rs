//! Small stand-ins for the platform, for workers and for endpoints, with faults to switch on.
//!
//! Each stand-in serves its interface over loopback TCP and can be told to fail in the ways in
//! which the real one does. What ran where is kept in a [`truth`] record of the stand-ins' own, on
//! which the promises are judged. Servers are built on hyper directly, since a fault may have to
//! break off an answer at any byte, which warp does not offer.

pub mod clock;
pub mod command;
pub mod endpoint;
pub mod http;
pub mod log;
pub mod proxy;

pub mod seed;
pub mod set;
pub mod truth;
pub mod vm_list;
pub mod worker;

pub use self::log::LogServer;
pub use self::proxy::FaultProxy;

pub use self::set::{StandinSet, StandinSettings};
pub use self::truth::{PromiseReport, TruthLedger};
pub use self::vm_list::VmListServer;
pub use self::worker::WorkerServer;
