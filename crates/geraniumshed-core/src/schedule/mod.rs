//! The scheduler, which assigns tasks to workers.
//!
//! [`ShardState`] is computed from the shard's log stream alone, so it is the same in every daemon.
//! [`ShardScheduler`] owns a shard for one term: it handles [`ShardInput`]s and returns
//! [`ShardAction`]s.
//!
//! Most decisions are proposed first: the owner appends an event to the shard's stream, and the
//! event takes effect when the owner reads it back and [`ShardState`] accepts it.
//!
//! The scheduler's methods are spread over modules: `placement` chooses workers, `lifecycle` tracks
//! attempts from placement to end, `worker_calls` and `worker_replies` communicate with workers,
//! and `task_moves` moves tasks to other shards.

pub mod desired;
mod endpoint_feed;
pub mod interference;
pub mod latency_control;
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
mod usage_estimates;
mod worker_calls;
mod worker_entry;
mod worker_health;
mod worker_replies;

pub use self::desired::{DesiredGroup, DesiredTasks, TaskGroup};
pub use self::interference::InterferenceSettings;
pub use self::latency_control::{LatencyControlSettings, ReactionPolicy};
pub use self::message::{ShardAction, ShardInput, WorkerFault};
pub use self::scheduler::{OwnerStage, ShardScheduler};
pub use self::settings::{PlacementPolicy, ProtocolRules, SchedulerSettings};
pub use self::shard_map::{ShardMap, StableHasher, stable_hash};
pub use self::shard_state::{ShardState, StateChange};
pub use self::snapshot::{ShardSnapshot, TaskSnapshot};
pub use self::status::{ShardCounters, ShardStatus, WaitingStatus, WorkerStatus};
pub use self::task_entry::{TaskEntry, TaskPhase, TaskPlacement};
pub use self::task_queue::WaitReason;
