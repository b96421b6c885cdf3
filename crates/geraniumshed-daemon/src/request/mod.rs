//! The request path of a daemon: accepts callers' requests, dispatches them to endpoints and
//! forwards requests with idempotency keys to the daemon that owns the key.

mod answer;
mod attempt;
mod body;
mod buffered_answer;
mod dispatch;
mod forwarding;
mod gate;
mod header;
mod intake;
mod key_claim;
mod keyed;
mod pool;
mod shared;
mod shared_dispatcher;
mod target;
mod tickets;

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
pub use self::forwarding::ForwardServer;
pub use self::key_log::{KeyEntry, KeyLog, KeyLogError, KeyPage};
pub use self::listener::{EntryHandle, EntryListener, StatusReader};
pub use self::settings::EntrySettings;
pub use self::status::EntryStatus;
