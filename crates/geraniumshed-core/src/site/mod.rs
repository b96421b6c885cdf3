//! The operators' configuration: its queues and routes, its differences, and how a node follows it; and
//! the availability zones that operators have evacuated.

mod config;
mod evacuation;
mod follower;
mod history;
mod route;
mod update;

pub use config::{ConfigVersion, SiteConfig};
pub use evacuation::{EvacuationChange, ZoneEvacuations};
pub use follower::{ConfigFollower, FollowAction, FollowRole, PeerAnswer};
pub use history::ConfigHistory;
pub use route::{RouteEntry, RouteKey, RouteTable};
pub use update::ConfigUpdate;
