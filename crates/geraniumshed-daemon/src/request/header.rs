//! The headers of the request path.

use geraniumshed_model::prelude::RunOutcome;
use http::header::{
    CONNECTION, HOST, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use http::{HeaderMap, HeaderValue};

/// Tells callers whether their request ran, and daemons whether an endpoint ran it.
pub static OUTCOME: HeaderName = HeaderName::from_static("geraniumshed-outcome");

/// Names a request to an endpoint, which answers with the same value.
pub static REQUEST_ID: HeaderName = HeaderName::from_static("geraniumshed-request-id");

/// Tells how long the answer is of use, such as `250ms`.
pub static DEADLINE: HeaderName = HeaderName::from_static("geraniumshed-deadline");

/// Tells the requests that an endpoint has in flight from all daemons.
pub static IN_FLIGHT: HeaderName = HeaderName::from_static("geraniumshed-in-flight");

/// Tells that an endpoint is leaving.
pub static LEAVING: HeaderName = HeaderName::from_static("geraniumshed-leaving");

/// Makes a request's repeats safe.
pub static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// Tells that an answer was kept from an earlier request with the same key.
pub static REPLAYED: HeaderName = HeaderName::from_static("geraniumshed-replayed");

/// The headers of one connection, which are not passed on.
static HOP_HEADERS: [HeaderName; 7] = [
    CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes the headers that belong to one connection only.
pub fn remove_hop_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_HEADERS) {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.remove("proxy-connection");
}

/// Removes the headers of a caller's request that the daemon sets itself.
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
