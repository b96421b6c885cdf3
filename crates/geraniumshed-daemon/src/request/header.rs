//! The HTTP headers of the request path.

use geraniumshed_model::prelude::RunOutcome;
use http::header::{
    CONNECTION, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// Whether a request ran: sent by endpoints to the daemon, and by the daemon to callers.
pub static OUTCOME: HeaderName = HeaderName::from_static("geraniumshed-outcome");

/// The id of a request, which the endpoint has to repeat in its answer.
pub static REQUEST_ID: HeaderName = HeaderName::from_static("geraniumshed-request-id");

/// The time within which the sender needs the answer, such as `250ms`.
pub static DEADLINE: HeaderName = HeaderName::from_static("geraniumshed-deadline");

/// The number of requests from all daemons that an endpoint has in flight.
pub static IN_FLIGHT: HeaderName = HeaderName::from_static("geraniumshed-in-flight");

/// Whether an endpoint is shutting down and takes no more requests.
pub static LEAVING: HeaderName = HeaderName::from_static("geraniumshed-leaving");

/// The key by which a repeated request is recognized, so that it runs only once.
pub static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Set on an answer that was stored for an earlier request with the same key.
pub static REPLAYED: HeaderName = HeaderName::from_static("geraniumshed-replayed");

/// The hop-by-hop headers, which are not forwarded.
static HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the hop-by-hop headers, including those that the `Connection` header lists.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Removes the headers from a caller's request that only the daemon or the endpoint may set.
pub fn remove_own_headers(headers: &mut HeaderMap) {
    for name in [
        &HOST,
        &REQUEST_ID,
        &DEADLINE,
        &OUTCOME,
        &IN_FLIGHT,
        &LEAVING,
    ] {
        headers.remove(name);
    }
}

/// Returns the value of the outcome header.
pub fn outcome_value(outcome: RunOutcome) -> HeaderValue {
    HeaderValue::from_static(match outcome {
        RunOutcome::Ran => "ran",
        RunOutcome::NotRun => "not-run",
        RunOutcome::Unknown => "unknown",
    })
}
