//! The daemon's feeds, followers and writers of the log, and its peers.

mod fake_log;
mod feed;
mod log_stream;
mod peers;
mod snapshots;
