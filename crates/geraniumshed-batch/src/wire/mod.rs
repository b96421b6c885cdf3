//! The serialized forms of stored records and of the calls between nodes.
//!
//! Fields and variants are encoded by position, so their order must not change.

mod call;
mod codec;
mod image;
mod interference;
mod leader;
mod peer;
mod request;

pub use call::{JobAnswerWire, JobCallWire, JobPhaseWire};
pub use codec::{WireDecodeError, decode, encode};
pub use image::JobImageWire;
pub use interference::InterferenceWire;
pub use leader::{LeaderWire, MemberWire};
pub use peer::{HeartbeatReplyWire, HeartbeatWire, NodePeer, NodePeerClient};
pub use request::JobRequestWire;
