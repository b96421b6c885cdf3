//! The settings of the request path.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The settings of the request path.
#[derive(Debug, Clone, PartialEq)]
pub struct EntrySettings {
    /// The address at which callers are served.
    pub listen: SocketAddr,
    /// The number of callers' connections open at once.
    pub connection_limit: usize,
    /// The bytes that a request's headers may have.
    pub header_limit: usize,
    /// The bytes that a request's body may have.
    pub body_limit: u64,
    /// The bytes up to which a body is held in memory; larger ones are streamed.
    pub buffer_limit: usize,
    /// The bytes that all bodies held in memory may have together.
    pub buffer_total: usize,
    /// The time within which a request's headers have to arrive.
    pub header_timeout: Duration,
    /// The time within which the next part of a request's body has to arrive.
    pub body_timeout: Duration,
    /// The time within which an endpoint has to accept a connection.
    pub connect_timeout: Duration,
    /// The time within which an open answer has to make progress.
    pub progress_timeout: Duration,
    /// The time after which an unused connection is closed.
    pub idle_timeout: Duration,
    /// The time for which finished answers of keyed requests are kept.
    pub answer_window: Duration,
    /// The bytes that all kept answers may have together.
    pub answer_total: usize,
    /// The time for which the health check fails before connections are closed on a planned stop.
    pub drain_notice: Duration,
    /// The bytes that the answer to a keyed request may have.
    pub keyed_answer_limit: usize,
    /// The time for which a ticket may be used after it was issued.
    pub ticket_lifetime: Duration,
    /// The shortest time between two appends to one shard's stream of keys.
    pub key_append_interval: Duration,
    /// The longest time that a planned stop waits for requests in flight.
    pub drain_limit: Duration,
    /// The round trip to another availability zone.
    pub zone_distance: Duration,
    /// The number of shards that idempotency keys are spread over.
    pub key_shards: u16,
    /// Whether spans are created.
    pub tracing: bool,
}

impl Default for EntrySettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            connection_limit: 10_000,
            header_limit: 16 * 1024,
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
