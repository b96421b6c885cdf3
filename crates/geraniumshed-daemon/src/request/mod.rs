//! The request path: the callers' listener, dispatch to endpoints, and passing requests on to peers.

pub mod forward;
pub mod key_log;
pub mod settings;

pub use self::forward::{
    ForwardAnswer, ForwardError, ForwardRequest, ForwardService, HeaderPair, KeyOwner,
    PeerForwarder,
};
pub use self::key_log::{KeyEntry, KeyLog, KeyLogError, KeyPage};
pub use self::settings::EntrySettings;
