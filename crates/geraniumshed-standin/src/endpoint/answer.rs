//! The answers of an endpoint.

use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use serde::Serialize;
use smol_str::SmolStr;

use super::fault::EndpointFault;
use crate::http::{BodyStep, HttpReply, ReplyBody};

/// The pause between the parts of a streamed answer.
const PART_PAUSE: Duration = Duration::from_millis(20);

/// The bytes of each part of a padded answer.
const PART_BYTES: usize = 64_000;

/// What an answer says, so that a caller can tell whether it is its own and whole.
#[derive(Debug, Serialize)]
pub(super) struct AnswerBody {
    /// The request id.
    pub request: SmolStr,
    /// The path and the query.
    pub path: SmolStr,
    /// The body of the request.
    pub echo: String,
    /// The endpoint.
    pub endpoint: SmolStr,
    /// Padding.
    pub padding: String,
    /// The end of the answer, by which a whole one is known.
    pub end: bool,
}

/// What a request asks of its answer.
#[derive(Debug, Clone, Copy)]
pub(super) struct AnswerShape {
    /// The number of parts to stream, or 0 to send the answer with its length.
    pub parts: usize,
    /// The status.
    pub status: StatusCode,
}

/// Builds the answer, whole or with a fault.
pub(super) fn build_answer(
    body: &AnswerBody,
    shape: AnswerShape,
    fault: EndpointFault,
) -> HttpReply {
    let bytes = Bytes::from(serde_json::to_vec(body).unwrap_or_default());
    let length = bytes.len();
    let streamed = shape.parts > 0;
    let part = if streamed {
        length.div_ceil(shape.parts)
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
            steps.push(BodyStep::Wait(PART_PAUSE));
        }
        steps.push(BodyStep::Data(next));
    }
    if end < length {
        // What was sent so far has to leave before the connection breaks.
        steps.push(BodyStep::Wait(PART_PAUSE));
        steps.push(BodyStep::BreakOff);
    }
    let declared = (!streamed).then_some(length as u64);
    let mut reply = Response::new(ReplyBody::steps(steps, declared));
    *reply.status_mut() = shape.status;
    reply
}
