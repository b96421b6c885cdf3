//! Answers and the parts of requests that the stand-ins read.

use bytes::Bytes;
use geraniumshed_wire::platform::ErrorWire;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;

use super::{BrokenOff, ReplyBody};

/// The answer of a stand-in.
pub type HttpReply = Response<ReplyBody>;

/// Creates an answer without a body.
pub fn empty_reply(status: StatusCode) -> HttpReply {
    build_reply(status, "text/plain", Bytes::new())
}

/// Creates an answer in plain text.
pub fn text_reply(status: StatusCode, text: impl Into<Bytes>) -> HttpReply {
    build_reply(status, "text/plain; charset=utf-8", text.into())
}

/// Creates a successful answer in the compact binary encoding.
pub fn binary_reply(bytes: Vec<u8>) -> HttpReply {
    build_reply(StatusCode::OK, "application/octet-stream", bytes.into())
}

/// Creates an answer in JSON.
///
/// # Panics
///
/// Panics if the value can't be written as JSON, such as a map whose keys are no strings.
pub fn json_reply<T: Serialize>(status: StatusCode, value: &T) -> HttpReply {
    let bytes = serde_json::to_vec(value).expect("the stand-ins' types can be written as JSON");
    build_reply(status, "application/json", bytes.into())
}

/// Creates the answer for an error of the platform.
pub fn error_reply(error: &ErrorWire) -> HttpReply {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    json_reply(status, error)
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns [`BrokenOff`] if the connection ends before the body does.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, BrokenOff> {
    let body = request.into_body().collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .map_err(|_| BrokenOff)
}

/// Returns the value of a parameter of a query.
pub fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}

fn build_reply(status: StatusCode, content_type: &'static str, bytes: Bytes) -> HttpReply {
    let mut reply = Response::new(ReplyBody::whole(bytes));
    *reply.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    reply.headers_mut().insert(CONTENT_TYPE, content_type);
    reply
}
