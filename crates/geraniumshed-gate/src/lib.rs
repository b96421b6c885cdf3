//! Limits on what the clients of a listener may hold of a process.
//!
//! A [`ClientGate`] admits connections and accounts for the memory of requests that are not answered
//! yet: it is reserved before bytes are read, and released whatever ends the request. Under pressure,
//! the connections that hold most for longest are closed first. Connections that make no progress
//! are closed. Each listener has a gate of its own, so that readiness checks and operators are served
//! while clients press the process.

mod account;
mod blocks;
mod cause;
mod connection;
mod descriptors;
mod json;
mod settings;
mod stream;

pub use account::{ClientGate, ConnectionAccount};
pub use blocks::BodyBlocks;
pub use cause::RefusalCause;
pub use connection::{GuardedBody, serve_connection};
pub use descriptors::descriptor_limit;
pub use json::{JsonExcess, JsonLimits, JsonSize, measure_json};
pub use settings::GateSettings;
