//! The request path: routing, queues, limits, retries, tickets and keys.
