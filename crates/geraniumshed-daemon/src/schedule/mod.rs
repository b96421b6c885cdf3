//! The scheduler's driver: one actor for each shard that the daemon owns.
//!
//! [`ShardHandle::spawn`] starts the actor; [`ShardStreams`] is what it needs of the log. Each kind
//! of append has a lane of its own, so that events of one stream stay in order and those that wait
//! go out together.

mod lane;
mod log_streams;
mod shard_actor;
mod shard_handle;
mod streams;
mod worker_link;

pub use self::log_streams::{LogReader, LogStreams};
pub use self::shard_handle::{ShardContext, ShardHandle};
pub use self::streams::{ShardItem, ShardReader, ShardStreams, StreamFault};
