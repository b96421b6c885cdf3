//! Followers and writers of the log's streams.

pub mod append_error;
pub mod context;
pub mod follower;
pub mod health;
pub mod key_streams;
pub mod readback;
pub mod settings;
pub mod task_guard;
pub mod writer;

pub use self::append_error::AppendError;
pub use self::context::{LogContext, LogUsage};
pub use self::follower::{FollowerItem, StreamFollower};
pub use self::health::LogHealth;
pub use self::key_streams::KeyStreams;
pub use self::readback::StreamReadback;
pub use self::settings::LogSettings;
pub use self::task_guard::TaskGuard;
pub use self::writer::{EventPosition, StreamWriter};
