//! The forms in which jobs, leaders and calls between nodes are stored and sent.

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
pub use peer::{BeatReplyWire, BeatWire, NodePeer, NodePeerClient};
pub use request::JobRequestWire;
