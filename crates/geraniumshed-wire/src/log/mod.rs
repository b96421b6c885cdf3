//! Entries of the log, in a compact binary encoding.
//!
//! An entry is a version byte followed by one batch in postcard. A stream's event type names its
//! wire type through [`StreamEvent`].

mod claim;
mod codec;
mod config;
mod endpoint;
mod key;
mod name;
mod shard;
mod snapshot;
mod spec;

pub use self::claim::WireClaim;
pub use self::codec::{DecodeError, EncodeError, StreamEvent, decode_batch, encode_batch};
pub use self::config::{WireBody, WireConfig, WireKey, WireKind};
pub use self::endpoint::{WireEndpoint, WireEndpointEvent, WireEndpointId, WireEndpointPhase};
pub use self::key::WireKeyEvent;
pub use self::shard::{WireOutcome, WireShardEvent, WireTask};
pub use self::snapshot::WirePart;
pub use self::spec::{
    WireBinding, WireDrain, WireJob, WireScope, WireService, WireSize, WireSpec, WireTeam,
    WireUrgency,
};
