//! The log's stand-in: streams with offsets, retention and outages.

mod server;
mod store;

pub use self::server::{LogMode, LogServer};
pub use self::store::{LogStore, Retention};
