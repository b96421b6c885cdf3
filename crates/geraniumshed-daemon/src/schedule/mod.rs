//! Runs the scheduler of each shard that the daemon owns in an actor.
//!
//! [`ShardHandle::spawn`] starts the actor, which accesses the log through [`ShardStreams`]. Each
//! stream has an append queue of its own, which keeps its events in order and batches those that
//! wait.

mod append_queue;
mod log_streams;
mod shard_actor;
mod shard_handle;
mod streams;
mod worker_fault;

pub use self::log_streams::{LogReader, LogStreams};
pub use self::shard_handle::{ShardContext, ShardHandle};
pub use self::streams::{ShardItem, ShardReader, ShardStreams, UnconfirmedAppend};
