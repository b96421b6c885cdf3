//! A small HTTP server that can refuse, ignore and abort connections.

mod body;
mod response;
mod server;
mod traffic;

pub use self::body::{BodyStep, ResponseBody};
pub use self::response::{
    HttpResponse, binary_response, empty_response, error_response, json_response, query_value,
    read_body, text_response,
};
pub(crate) use self::server::open_listener;
pub use self::server::{ConnectionAborted, HttpHandler, HttpServer, ServerMode};
pub use self::traffic::{RouteTraffic, TrafficReport};
