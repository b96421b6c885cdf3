//! Helpers to build responses and to read requests.

use bytes::Bytes;
use geraniumshed_wire::platform::ErrorWire;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;

use super::{ConnectionAborted, ResponseBody};

/// The response of a stand-in.
pub type HttpResponse = Response<ResponseBody>;

/// Creates a response without a body.
pub fn empty_response(status: StatusCode) -> HttpResponse {
    build_response(status, "text/plain", Bytes::new())
}

/// Creates a plain-text response.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> HttpResponse {
    build_response(status, "text/plain; charset=utf-8", text.into())
}

/// Creates a successful response from a body in the compact binary encoding.
pub fn binary_response(bytes: Vec<u8>) -> HttpResponse {
    build_response(StatusCode::OK, "application/octet-stream", bytes.into())
}

/// Creates a JSON response.
///
/// # Panics
///
/// Panics if the value can't be serialized as JSON, such as a map with keys that aren't strings.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let bytes = serde_json::to_vec(value).expect("the stand-ins' types serialize as JSON");
    build_response(status, "application/json", bytes.into())
}

/// Creates the response for a platform error.
pub fn error_response(error: &ErrorWire) -> HttpResponse {
    let status = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::BAD_REQUEST);
    json_response(status, error)
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns [`ConnectionAborted`] if the connection ends before the body does.
pub async fn read_body(request: Request<Incoming>) -> Result<Bytes, ConnectionAborted> {
    let body = request.into_body().collect().await;
    body.map(http_body_util::Collected::to_bytes)
        .map_err(|_| ConnectionAborted)
}

/// Returns the value of a query parameter.
pub fn query_value<'a>(query: Option<&'a str>, name: &str) -> Option<&'a str> {
    query?.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}

fn build_response(status: StatusCode, content_type: &'static str, bytes: Bytes) -> HttpResponse {
    let mut response = Response::new(ResponseBody::whole(bytes));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}
