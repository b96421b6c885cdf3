//! Requests that daemons forward to each other.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A header of a forwarded request or its answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderWire {
    /// The name, in lower case.
    pub name: SmolStr,
    /// The value.
    pub value: Bytes,
}

/// A forwarded request, with its complete body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequestWire {
    /// The incarnation of the daemon that has to dispatch the request, or `None` for any.
    pub incarnation: Option<u64>,
    /// The name of the binding or service.
    pub service: SmolStr,
    /// The HTTP method.
    pub method: SmolStr,
    /// The path and query within the service.
    pub target: SmolStr,
    /// The headers.
    pub headers: Vec<HeaderWire>,
    /// The body.
    pub body: Bytes,
    /// The time left until the request's deadline, in microseconds.
    pub remaining_us: u64,
}

/// The answer to a forwarded request, with its complete body.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardAnswerWire {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<HeaderWire>,
    /// The body.
    pub body: Bytes,
}
