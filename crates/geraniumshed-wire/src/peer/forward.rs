//! Requests that daemons pass on to each other.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

/// A header of a request or an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderWire {
    /// The name in lower case.
    pub name: SmolStr,
    /// The value.
    pub value: Bytes,
}

/// A whole request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardRequestWire {
    /// The incarnation that has to dispatch the request.
    pub incarnation: Option<u64>,
    /// The binding or service.
    pub service: SmolStr,
    /// The method.
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

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardAnswerWire {
    /// The HTTP status.
    pub status: u16,
    /// The headers.
    pub headers: Vec<HeaderWire>,
    /// The body.
    pub body: Bytes,
}
