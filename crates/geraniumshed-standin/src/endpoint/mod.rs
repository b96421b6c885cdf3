//! A stand-in for an endpoint of a service.
//!
//! An endpoint runs one request per slot concurrently, queues a few more and refuses the rest
//! without running them. Only the path `GET /health` has a meaning. The query of a request may set
//! `serve` (the mean service time), `answer` (the padding of the response, as a size), `stream`
//! (the number of parts) and `fail` (responds with status 500).

mod fault;
mod handler;
mod response;
mod server;
mod service_time;

pub use self::fault::EndpointFault;
pub use self::handler::{HEADER_IN_FLIGHT, HEADER_LEAVING, HEADER_OUTCOME, HEADER_REQUEST_ID};
pub use self::server::{EndpointConfig, EndpointServer};
pub use self::service_time::draw_service_times;
