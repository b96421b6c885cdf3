//! The VM list's stand-in: what it shows lags behind.

mod server;
mod store;

pub use self::server::{VmListMode, VmListServer};
pub use self::store::VmStore;
