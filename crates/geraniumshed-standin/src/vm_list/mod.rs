//! A stand-in for the VM list, which shows changes with a delay.

mod server;
mod store;

pub use self::server::{VmListMode, VmListServer};
pub use self::store::VmStore;
