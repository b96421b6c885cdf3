//! The request path: the callers' listener, dispatch to endpoints, and passing requests on to peers.

mod answer;
mod attempt;
mod body;
mod flight;
mod gate;
mod header;
mod intake;
mod issue;
mod kept;
mod key_shard;
mod keyed;
mod passing;
mod pool;
mod shared;
mod target;

pub mod context;
pub mod forward;
pub mod key_log;
pub mod listener;
pub mod settings;
pub mod status;

pub use self::context::EntryContext;
pub use self::forward::{
    ForwardAnswer, ForwardError, ForwardRequest, ForwardService, HeaderPair, KeyOwner,
    PeerForwarder,
};
pub use self::key_log::{KeyEntry, KeyLog, KeyLogError, KeyPage};
pub use self::listener::{EntryHandle, EntryListener, StatusReader};
pub use self::passing::PeerEntry;
pub use self::settings::EntrySettings;
pub use self::status::EntryStatus;
