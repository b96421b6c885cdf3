//! Log entries, in a compact binary encoding.
//!
//! An entry is a version byte followed by one postcard-encoded batch. [`StreamEvent`] maps the
//! event type of a stream to its wire type.

mod claim;
mod codec;
mod config;
mod config_snapshot;
mod endpoint;
mod key;
mod name;
mod shard;
mod snapshot;
mod spec;

pub use self::claim::ClaimEventWire;
pub use self::codec::{DecodeError, EncodeError, StreamEvent, decode_batch, encode_batch};
pub use self::config::{ConfigEventWire, RecordBodyWire, RecordKeyWire, RecordKindWire};
pub use self::config_snapshot::{decode_config_snapshot, encode_config_snapshot};
pub use self::endpoint::{EndpointEntryWire, EndpointEventWire, EndpointIdWire, EndpointPhaseWire};
pub use self::key::KeyEventWire;
pub use self::shard::ShardEventWire;
pub use self::snapshot::SnapshotPartWire;
pub use self::spec::{
    BindingSpecWire, DrainScopeWire, DrainSpecWire, JobSpecWire, RecordSpecWire, ServiceSpecWire,
    TeamSpecWire,
};
