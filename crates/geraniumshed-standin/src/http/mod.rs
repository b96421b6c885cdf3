//! A small HTTP server whose connections can be refused, silenced and broken off.

mod body;
mod reply;
mod server;
mod traffic;

pub use self::body::{BodyStep, ReplyBody};
pub use self::reply::{
    HttpReply, binary_reply, empty_reply, error_reply, json_reply, query_value, read_body,
    text_reply,
};
pub(crate) use self::server::open_listener;
pub use self::server::{BrokenOff, HttpHandler, HttpServer, ServerMode};
pub use self::traffic::{RouteTraffic, TrafficReport};
