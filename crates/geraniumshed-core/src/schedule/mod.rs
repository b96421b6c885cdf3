//! The scheduler: decides which worker runs which task.
//!
//! [`ShardState`] is derived from a shard's stream alone and is the same in every daemon.
//! [`ShardScheduler`] is the owner of a shard under one term: it takes [`ShardInput`]s and returns
//! [`ShardAction`]s. Its steps are in modules of their own: `lifecycle` takes attempts from
//! placement to end, `worker_calls` and `worker_replies` talk to workers, `placement` chooses
//! workers, `task_moves` hands tasks to other shards.

mod endpoint_feed;
pub mod interference;
pub mod ladder;
mod lifecycle;
pub mod message;
mod placement;
mod preemption;
mod progress_feed;
mod quota;
pub mod scheduler;
pub mod settings;
pub mod shard_map;
pub mod shard_state;
pub mod snapshot;
pub mod status;
pub mod task_entry;
mod task_moves;
pub mod task_queue;
mod usage_book;
pub mod wanted;
mod worker_calls;
mod worker_entry;
mod worker_health;
mod worker_replies;

pub use self::interference::InterferenceSettings;
pub use self::ladder::{LadderSettings, ReactionPolicy};
pub use self::message::{ShardAction, ShardInput, WorkerFault};
pub use self::scheduler::{OwnerStage, ShardScheduler};
pub use self::settings::{PlacementPolicy, ProtocolRules, SchedulerSettings};
pub use self::shard_map::{ShardMap, StableHasher, stable_hash};
pub use self::shard_state::{ShardState, StateChange};
pub use self::snapshot::{ShardSnapshot, TaskSnapshot};
pub use self::status::{ShardCounters, ShardStatus, WaitingStatus, WorkerStatus};
pub use self::task_entry::{TaskEntry, TaskPhase, TaskPlacement};
pub use self::task_queue::WaitReason;
pub use self::wanted::{TaskGroup, WantedGroup, WantedTasks};
