//! The responses of an endpoint.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use serde::Serialize;
use smol_str::SmolStr;

use super::fault::EndpointFault;
use crate::http::{BodyStep, HttpResponse, ResponseBody};

/// The interval between the parts of a streamed response.
const PART_INTERVAL: Duration = Duration::from_millis(20);

/// The part size of a response that is not streamed.
const PART_BYTES: usize = 64_000;

/// The JSON body of a response, from which a caller can verify that the response is complete and
/// belongs to its request.
#[derive(Debug, Serialize)]
pub(super) struct ResponseContent {
    /// The request id.
    pub request: SmolStr,
    /// The path and the query.
    pub path: SmolStr,
    /// The body of the request.
    pub echo: String,
    /// The endpoint.
    pub endpoint: SmolStr,
    /// Filler that brings the response to the requested size.
    pub padding: String,
    /// The last field, whose presence shows that the response is complete.
    pub end: bool,
}

/// The parameters of a response that a request may set.
#[derive(Debug, Clone, Copy)]
pub(super) struct ResponseOptions {
    /// The number of streamed parts, or 0 to send the response with a declared length.
    pub parts: usize,
    /// The status.
    pub status: StatusCode,
}

/// Builds the response and truncates it if the fault says so.
pub(super) fn build_response(
    body: &ResponseContent,
    options: ResponseOptions,
    fault: EndpointFault,
) -> HttpResponse {
    let bytes = Bytes::from(serde_json::to_vec(body).unwrap_or_default());
    let length = bytes.len();
    let streamed = options.parts > 0;
    let part = if streamed {
        length.div_ceil(options.parts)
    } else {
        PART_BYTES
    };
    let end = match fault {
        EndpointFault::CutBody => length / 2,
        _ => length,
    };
    let mut steps = Vec::new();
    let mut rest = bytes.slice(..end);
    while !rest.is_empty() {
        let next = rest.split_to(part.clamp(1, rest.len()));
        if streamed && !steps.is_empty() {
            steps.push(BodyStep::Wait(PART_INTERVAL));
        }
        steps.push(BodyStep::Data(next));
    }
    if end < length {
        // The bytes sent so far have to be transmitted before the connection is aborted.
        steps.push(BodyStep::Wait(PART_INTERVAL));
        steps.push(BodyStep::Abort);
    }
    let declared = (!streamed).then_some(length as u64);
    let mut response = Response::new(ResponseBody::steps(steps, declared));
    *response.status_mut() = options.status;
    response
}
