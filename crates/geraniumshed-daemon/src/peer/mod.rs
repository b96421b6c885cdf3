//! Calls between daemons, by tarpc.
//!
//! The [`PeerHub`] knows the peers and what this daemon tells them of itself. The [`PeerServer`]
//! answers their calls, the [`PeerBeat`] asks them in turn, and the [`PeerLink`] passes requests
//! on. Heartbeats and requests use connections of their own, so that neither waits for the other.

pub mod beat;
pub mod connection;
pub mod convert;
pub mod hub;
pub mod link;
pub mod pool;
pub mod server;
pub mod settings;
pub mod traffic;

pub use self::beat::PeerBeat;
pub use self::hub::{OwnState, PeerHub};
pub use self::link::PeerLink;
pub use self::pool::PeerPool;
pub use self::server::PeerServer;
pub use self::settings::PeerSettings;
pub use self::traffic::{PeerTraffic, TrafficCount};
