//! The serialized forms of stored records and of the calls between nodes.
//!
//! Fields and variants are encoded by position, so their order must not change.

mod call;
mod codec;
mod config;
mod courier;
mod crash;
mod forecast;
mod interference;
mod leader;
mod lease;
mod peer;
mod queue;
mod request;
mod stored_job;
mod task;
mod track;
mod wait;

pub use call::{JobAnswerWire, JobCallWire, JobPhaseWire};
pub use codec::{WireDecodeError, decode, encode};
pub use config::ConfigUpdateWire;
pub use courier::{CourierCallWire, CourierReplyBatchWire, CourierReplyWire, CourierRequestWire};
pub use crash::JobCrashesWire;
pub use forecast::{ForecastQueryWire, ForecastReplyWire, ForecastWire};
pub use interference::InterferenceWire;
pub use leader::{LeaderWire, MemberWire};
pub use lease::LeaseSnapshotWire;
pub use peer::{
    ConfigQueryWire, ConfigReplyWire, HeartbeatReplyWire, HeartbeatWire, NodePeer, NodePeerClient,
};
pub use queue::QueuePolicyWire;
pub use request::JobRequestWire;
pub use stored_job::StoredJobWire;
pub use track::TrackSnapshotWire;
pub use wait::WaitSnapshotWire;
