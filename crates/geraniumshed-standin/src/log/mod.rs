//! A stand-in for the log: streams with offsets, retention and injected outages.

mod server;
mod store;

pub use self::server::{LogMode, LogServer};
pub use self::store::{LogStore, Retention};
