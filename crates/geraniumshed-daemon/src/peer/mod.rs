//! RPC between daemons over tarpc.
//!
//! The [`PeerHub`] holds the reports of the peers and of this daemon. The [`PeerServer`] answers
//! the calls of peers, the [`PeerHeartbeat`] sends heartbeats to them, and the [`PooledForwarder`]
//! forwards requests. Heartbeats and requests use separate connections, so that neither waits for
//! the other.

pub mod connection;
pub mod convert;
pub mod forwarder;
pub mod heartbeat;
pub mod hub;
pub mod pool;
pub mod server;
pub mod settings;
pub mod traffic;

pub use self::forwarder::PooledForwarder;
pub use self::heartbeat::PeerHeartbeat;
pub use self::hub::{LocalState, PeerHub};
pub use self::pool::PeerPool;
pub use self::server::PeerServer;
pub use self::settings::PeerSettings;
pub use self::traffic::{PeerTraffic, TrafficCount};
