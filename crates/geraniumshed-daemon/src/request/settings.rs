//! The settings of the request path.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The settings of the request path.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// The address of the callers' listener.
    pub listen: SocketAddr,
    /// The maximum number of open connections from callers.
    pub connection_limit: usize,
    /// The maximum size of a request's headers in bytes.
    pub header_limit: usize,
    /// The maximum size of a request's body in bytes.
    pub body_limit: u64,
    /// The maximum size of a buffered body in bytes; larger bodies are streamed.
    pub buffer_limit: usize,
    /// The maximum size of all buffered request bodies together, in bytes.
    pub buffer_total: usize,
    /// The maximum number of a request's headers.
    pub header_count: usize,
    /// The maximum memory of all requests that are not answered yet, in bytes.
    pub request_total: usize,
    /// The time after which a connection without a request is closed.
    pub caller_idle_timeout: Duration,
    /// The time within which a caller has to take the next bytes of an answer.
    pub write_timeout: Duration,
    /// The time within which a request's headers have to arrive.
    pub header_timeout: Duration,
    /// The time within which the next chunk of a request's body has to arrive.
    pub body_timeout: Duration,
    /// The time within which an endpoint has to accept a connection.
    pub connect_timeout: Duration,
    /// The time within which the next chunk of an endpoint's answer has to arrive; also the TCP
    /// keep-alive interval and user timeout.
    pub progress_timeout: Duration,
    /// The time after which an idle connection to an endpoint is closed.
    pub idle_timeout: Duration,
    /// The time for which answers to requests with an idempotency key are stored.
    pub answer_window: Duration,
    /// The maximum size of all stored answers together, in bytes.
    pub answer_total: usize,
    /// On a planned stop, the time between failing the health check and closing connections.
    pub drain_notice: Duration,
    /// The maximum size of the answer to a request with an idempotency key, in bytes.
    pub keyed_answer_limit: usize,
    /// The time for which a ticket is valid after it was issued.
    pub ticket_lifetime: Duration,
    /// The minimum time between two appends to one shard's stream of keys.
    pub key_append_interval: Duration,
    /// The maximum time that a planned stop waits for requests in flight.
    pub drain_limit: Duration,
    /// The round-trip time to another availability zone.
    pub zone_distance: Duration,
    /// The number of shards that idempotency keys are spread over.
    pub key_shards: u16,
    /// Whether trace spans are created.
    pub tracing: bool,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            connection_limit: 10_000,
            header_limit: 16 * 1024,
            header_count: 100,
            request_total: 96 * 1024 * 1024,
            caller_idle_timeout: Duration::from_secs(15),
            write_timeout: Duration::from_secs(10),
            body_limit: 64 * 1024 * 1024,
            buffer_limit: 256 * 1024,
            buffer_total: 64 * 1024 * 1024,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            connect_timeout: Duration::from_millis(500),
            progress_timeout: Duration::from_secs(2),
            idle_timeout: Duration::from_secs(5),
            answer_window: Duration::from_mins(10),
            answer_total: 32 * 1024 * 1024,
            keyed_answer_limit: 1024 * 1024,
            ticket_lifetime: Duration::from_mins(10),
            key_append_interval: Duration::from_millis(200),
            drain_notice: Duration::from_secs(3),
            drain_limit: Duration::from_mins(10),
            zone_distance: Duration::from_millis(6),
            key_shards: 16,
            tracing: false,
        }
    }
}
