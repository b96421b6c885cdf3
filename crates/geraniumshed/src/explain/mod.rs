//! The timeline of one job, from the logs of all nodes.

mod line;
mod timeline;

pub use self::line::{LogFields, LogLine};
pub use self::timeline::JobTimeline;
