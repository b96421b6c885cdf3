//! Feeds that keep the daemon's views of the records, the endpoints and the VMs up to date.

pub mod config_feed;
pub mod config_publisher;
pub mod config_snapshots;
pub mod endpoint_feed;
pub mod pause_detector;
pub mod verdict_table;
pub mod vm_feed;

pub use self::config_feed::ConfigFeed;
pub use self::config_publisher::ConfigPublisher;
pub use self::config_snapshots::{ConfigSnapshots, SnapshotSettings};
pub use self::endpoint_feed::EndpointFeed;
pub use self::pause_detector::PauseDetector;
pub use self::vm_feed::{VmFeed, VmFeedSettings};
