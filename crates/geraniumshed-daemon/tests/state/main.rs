//! The daemon's state: what it follows and writes on the log.

mod fake_log;
mod feed;
mod log_stream;
mod peers;
mod snapshots;
