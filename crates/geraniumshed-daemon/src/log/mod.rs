//! Followers and writers of the log's streams.
//!
//! A [`StreamWriter`] retries an entry under one sequence number until the log answers, so the log
//! may hold it more than once. A [`StreamFollower`] passes each entry on once and confirms this
//! daemon's own entries through [`PendingAppends`].

pub mod append_error;
pub mod context;
pub mod follower;
pub mod health;
pub mod key_streams;
pub mod pending_appends;
pub mod settings;
pub mod task_guard;
pub mod writer;

pub use self::append_error::AppendError;
pub use self::context::{LogContext, LogUsage};
pub use self::follower::{FollowerItem, StreamFollower};
pub use self::health::LogHealth;
pub use self::key_streams::KeyStreams;
pub use self::pending_appends::PendingAppends;
pub use self::settings::LogSettings;
pub use self::task_guard::TaskGuard;
pub use self::writer::{EventPosition, StreamWriter};
