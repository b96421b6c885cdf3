//! The route `POST /tickets?count=N`, by which callers obtain tickets (idempotency keys that this
//! daemon issues).

use bytes::Bytes;
use geraniumshed_model::prelude::{ErrorKind, RunOutcome};
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Method, StatusCode};
use serde::Serialize;

use super::answer::{AnswerBody, EntryAnswer, EntryError};
use super::forward::PeerForwarder;
use super::key_log::KeyLog;
use super::keyed::{KeyedHandler, TICKET_COUNT_LIMIT};

/// The path for requesting tickets.
pub const TICKETS_PATH: &str = "/tickets";

/// The JSON body of the answer.
#[derive(Debug, Serialize)]
struct TicketsBody {
    tickets: Vec<String>,
}

/// Issues the number of tickets in the query; without a query, one.
///
/// # Errors
///
/// Returns the error to send to the caller.
pub fn issue_tickets<P: PeerForwarder, K: KeyLog>(
    keyed: &KeyedHandler<P, K>,
    method: &Method,
    query: Option<&str>,
) -> Result<EntryAnswer, EntryError> {
    if method != Method::POST {
        return Err(EntryError::new(
            ErrorKind::MethodNotAllowed,
            "tickets are issued by POST",
            "use POST /tickets?count=N",
        ));
    }
    let count = read_count(query)?;
    let tickets = keyed.issue(count).iter().map(ToString::to_string).collect();
    let body = serde_json::to_vec(&TicketsBody { tickets }).unwrap_or_default();
    let mut headers = HeaderMap::new();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    Ok(EntryAnswer {
        status: StatusCode::CREATED,
        headers,
        outcome: RunOutcome::Ran,
        body: AnswerBody::Buffered(Bytes::from(body)),
    })
}

fn read_count(query: Option<&str>) -> Result<u32, EntryError> {
    let Some(query) = query else {
        return Ok(1);
    };
    query
        .strip_prefix("count=")
        .and_then(|count| count.parse().ok())
        .filter(|count| (1..=TICKET_COUNT_LIMIT).contains(count))
        .ok_or_else(|| {
            let detail = format!("the query `{query}` is not a valid number of tickets");
            let hint = "use count=N with N from 1 to 1000";
            EntryError::new(ErrorKind::Malformed, &detail, hint)
        })
}
