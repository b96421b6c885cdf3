//! The stand-in of a service's endpoint.
//!
//! An endpoint serves as many requests at once as it has slots, lets a few wait, and refuses the
//! rest without running them. The path of a request has no meaning but for `GET /health`; its query
//! may set `serve` (a span), `answer` (a size), `stream` (a number of parts) and `fail`.

mod answer;
mod fault;
mod handler;
mod server;
mod service_time;

pub use self::fault::EndpointFault;
pub use self::handler::{HEADER_IN_FLIGHT, HEADER_LEAVING, HEADER_OUTCOME, HEADER_REQUEST_ID};
pub use self::server::{EndpointConfig, EndpointServer};
pub use self::service_time::draw_times;
