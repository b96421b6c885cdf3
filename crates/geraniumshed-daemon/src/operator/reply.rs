//! Replies of the operators' interface.

use geraniumshed_model::prelude::{ErrorKind, ProblemError};
use geraniumshed_wire::document::ProblemList;
use geraniumshed_wire::operator::ProblemDocument;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, StatusCode};
use serde::Serialize;
use smol_str::format_smolstr;
use warp::reply::Response;

/// A reply before it is encoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorReply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The media type of the body.
    pub media_type: &'static str,
    /// The body.
    pub body: String,
}

impl OperatorReply {
    /// Creates a reply with a JSON body.
    pub fn json(status: StatusCode, body: &impl Serialize) -> Self {
        match serde_json::to_string(body) {
            Ok(body) => Self {
                status,
                media_type: "application/json",
                body,
            },
            Err(error) => Self::from(&ProblemError::new(
                ErrorKind::Internal,
                format_smolstr!("the reply can't be encoded: {error}"),
                "report this",
            )),
        }
    }

    /// Creates a reply with a body of plain text.
    pub fn text(body: String) -> Self {
        Self {
            status: StatusCode::OK,
            media_type: "text/plain; charset=utf-8",
            body,
        }
    }

    fn problem(document: &ProblemDocument) -> Self {
        let status = StatusCode::from_u16(document.status);
        Self {
            status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            media_type: "application/problem+json",
            body: serde_json::to_string(document).unwrap_or_default(),
        }
    }

    /// Encodes the reply.
    pub fn into_response(self) -> Response {
        let mut response = Response::new(self.body.into());
        *response.status_mut() = self.status;
        let media_type = HeaderValue::from_static(self.media_type);
        response.headers_mut().insert(CONTENT_TYPE, media_type);
        response
    }
}

impl From<&ProblemError> for OperatorReply {
    fn from(error: &ProblemError) -> Self {
        Self::problem(&ProblemDocument::from(error))
    }
}

impl From<ProblemList> for OperatorReply {
    fn from(list: ProblemList) -> Self {
        Self::problem(&ProblemDocument::from(list))
    }
}
