//! The complete daemon, which connects the feeds, the peers, the shards, the request path and the
//! operators' interface.

pub mod backend;
pub mod daemon;
pub mod metrics;
pub mod shard_runners;
pub mod status;

pub use self::backend::{LevelControl, NodeBackend, NodeParts};
pub use self::daemon::{Daemon, DaemonHandle, StartError};
pub use self::shard_runners::ShardRunners;
