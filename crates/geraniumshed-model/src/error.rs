//! The complete list of error kinds and the HTTP answer for each.

use std::fmt::{self, Display, Formatter};

use smol_str::SmolStr;

/// Whether a request ran on an endpoint, as reported to its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RunOutcome {
    /// The request ran.
    Ran,
    /// The request did not run and never will.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
}

impl Display for RunOutcome {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ran => "ran",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        })
    }
}

/// Advice for a caller on whether to retry after an error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryAdvice {
    /// Do not retry: the same request would fail again.
    Never,
    /// Retry after the delay given in the answer.
    Later,
    /// Retry immediately with the same idempotency key.
    SameKey,
    /// Find out whether the request ran before retrying it.
    Ask,
}

/// A kind of error that geraniumshed reports to callers and operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ErrorKind {
    /// The request or record can't be parsed.
    Malformed,
    /// The credentials are missing or wrong.
    Unauthorized,
    /// The route is not available to callers.
    Forbidden,
    /// No record with that name is in force.
    NotFound,
    /// The method is not allowed on this route.
    MethodNotAllowed,
    /// The caller sent its request too slowly.
    SlowCaller,
    /// Another operator published first.
    GenerationConflict,
    /// The idempotency key was used with a different request.
    KeyMismatch,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The headers are larger than the limit.
    HeadersTooLarge,
    /// A record violates a rule of its kind.
    InvalidRecord,
    /// A record's schema is unknown.
    UnknownSchema,
    /// The team has exceeded its request rate.
    RateLimited,
    /// The request was shed, since it could not be served in time.
    Overloaded,
    /// The service has no endpoint that accepts requests.
    NoEndpoint,
    /// The endpoints refused the connection.
    EndpointRefused,
    /// The deadline passed before the request was dispatched.
    DeadlineInQueue,
    /// The deadline passed after the request was dispatched.
    DeadlineAtEndpoint,
    /// The connection to the endpoint failed after the request was dispatched.
    EndpointLost,
    /// The endpoint's answer ended early.
    TruncatedAnswer,
    /// The endpoint's answer belongs to another request.
    MismatchedAnswer,
    /// The daemon that issued the ticket is gone or became unreachable after dispatch.
    IssuerGone,
    /// The idempotency key was used before, and its answer is no longer kept.
    KeyExpired,
    /// Earlier uses of the idempotency key can't be looked up, so it is unknown whether one ran.
    KeyUnchecked,
    /// The log can't be reached, so no key was claimed and no record accepted.
    LogUnavailable,
    /// The log did not confirm whether a record was accepted.
    LogUnconfirmed,
    /// The daemon is stopping or has not caught up with the log yet.
    NotServing,
    /// An internal error occurred in the daemon.
    Internal,
}

/// The answer to a request that failed with one kind of error.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorAnswer {
    /// The kind.
    pub kind: ErrorKind,
    /// The last part of the problem type's URI.
    pub slug: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// What the caller should do next.
    pub retry: RetryAdvice,
    /// The title of the problem.
    pub title: &'static str,
}

/// Creates a row of [`ERROR_ANSWERS`].
const fn answer(
    kind: ErrorKind,
    slug: &'static str,
    status: u16,
    outcome: RunOutcome,
    retry: RetryAdvice,
    title: &'static str,
) -> ErrorAnswer {
    ErrorAnswer {
        kind,
        slug,
        status,
        outcome,
        retry,
        title,
    }
}

use ErrorKind as K;
use RetryAdvice::{Ask, Later, Never, SameKey};
use RunOutcome::{NotRun, Unknown};

/// The answer for each kind of error, with one row per kind.
#[rustfmt::skip]
pub const ERROR_ANSWERS: [ErrorAnswer; 28] = [
    answer(K::Malformed, "malformed", 400, NotRun, Never, "The request can't be understood"),
    answer(K::Unauthorized, "unauthorized", 401, NotRun, Never, "Credentials are missing or wrong"),
    answer(K::Forbidden, "forbidden", 403, NotRun, Never, "The route is not for callers"),
    answer(K::NotFound, "not-found", 404, NotRun, Never, "No such record is in force"),
    answer(K::MethodNotAllowed, "method-not-allowed", 405, NotRun, Never, "The method is not allowed here"),
    answer(K::SlowCaller, "slow-caller", 408, NotRun, SameKey, "The request was sent too slowly"),
    answer(K::GenerationConflict, "conflict", 409, NotRun, Never, "Another operator published first"),
    answer(K::KeyMismatch, "key-mismatch", 422, NotRun, Never, "The key belongs to another request"),
    answer(K::BodyTooLarge, "body-too-large", 413, NotRun, Never, "The body is too large"),
    answer(K::HeadersTooLarge, "headers-too-large", 431, NotRun, Never, "The headers are too large"),
    answer(K::InvalidRecord, "invalid-record", 422, NotRun, Never, "The record breaks a rule"),
    answer(K::UnknownSchema, "unknown-schema", 422, NotRun, Never, "The record's schema is unknown"),
    answer(K::RateLimited, "rate-limited", 429, NotRun, Later, "The team's rate is used up"),
    answer(K::Overloaded, "overloaded", 503, NotRun, Later, "The service is overloaded"),
    answer(K::NoEndpoint, "no-endpoint", 503, NotRun, Later, "No endpoint takes requests"),
    answer(K::EndpointRefused, "endpoint-refused", 502, NotRun, Later, "The endpoints refuse connections"),
    answer(K::DeadlineInQueue, "deadline-in-queue", 504, NotRun, Later, "The deadline passed before dispatch"),
    answer(K::DeadlineAtEndpoint, "deadline-at-endpoint", 504, Unknown, Ask, "The deadline passed after dispatch"),
    answer(K::EndpointLost, "endpoint-lost", 502, Unknown, Ask, "The endpoint was lost after dispatch"),
    answer(K::TruncatedAnswer, "truncated-answer", 502, Unknown, Ask, "The endpoint's answer was cut off"),
    answer(K::MismatchedAnswer, "mismatched-answer", 502, Unknown, Ask, "The endpoint answered another request"),
    answer(K::IssuerGone, "issuer-gone", 502, Unknown, Ask, "The ticket's issuer can't be reached"),
    answer(K::KeyExpired, "key-expired", 410, Unknown, Ask, "The key's answer is no longer kept"),
    answer(K::KeyUnchecked, "key-unchecked", 503, Unknown, Ask, "The key can't be looked up"),
    answer(K::LogUnavailable, "log-unavailable", 503, NotRun, Later, "The log can't be reached"),
    answer(K::LogUnconfirmed, "log-unconfirmed", 503, Unknown, Ask, "The log did not confirm the record"),
    answer(K::NotServing, "not-serving", 503, NotRun, Later, "The daemon takes no requests now"),
    answer(K::Internal, "internal", 500, Unknown, Ask, "The daemon failed"),
];

impl ErrorKind {
    /// Returns the answer for this kind of error.
    ///
    /// # Panics
    ///
    /// Panics if the table has no row for the kind; a test checks that each kind has one.
    pub fn answer(self) -> &'static ErrorAnswer {
        ERROR_ANSWERS
            .iter()
            .find(|answer| answer.kind == self)
            .expect("the answer table has a row for each kind")
    }
}

/// An error with a description of the problem and a hint on how to resolve it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProblemError {
    /// The kind, which determines the answer.
    pub kind: ErrorKind,
    /// A description of the problem, in one sentence.
    pub detail: SmolStr,
    /// How to resolve the problem; may be empty.
    pub hint: SmolStr,
}

impl ProblemError {
    /// Creates an error of the given kind.
    pub fn new(kind: ErrorKind, detail: impl Into<SmolStr>, hint: impl Into<SmolStr>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            hint: hint.into(),
        }
    }
}

impl Display for ProblemError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.answer().title, self.detail)?;
        if !self.hint.is_empty() {
            write!(f, " (hint: {})", self.hint)?;
        }
        Ok(())
    }
}

impl std::error::Error for ProblemError {}
