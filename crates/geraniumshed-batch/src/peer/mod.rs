//! The calls between nodes over TCP.

mod client;
mod server;
mod stream;

pub use client::{PeerFailure, PeerPool};
pub use server::PeerServer;
