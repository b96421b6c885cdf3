//! What befell one job, from the logs of many nodes.

mod line;
mod timeline;

pub use self::line::{LogFields, LogLine};
pub use self::timeline::JobTimeline;
