//! The events that a dispatcher handles and the actions that it returns.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use geraniumshed_model::prelude::{ErrorKind, RequestId, TimePoint, UrgencyClass};

/// The index of an endpoint in its dispatcher; never reused for another endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub u32);

impl Display for EndpointIndex {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

/// The properties of a request that the dispatcher needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The unique id.
    pub id: RequestId,
    /// The priority of the request when there is not enough capacity for all.
    pub urgency: UrgencyClass,
    /// The time at which the request was received.
    pub arrived: TimePoint,
    /// The time until which the caller can use an answer.
    pub deadline: TimePoint,
    /// Whether running the request more than once is safe.
    pub idempotent: bool,
    /// Whether the body is buffered, so that it can be sent again in another attempt.
    pub replayable: bool,
}

/// The result of one attempt to send a request to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// A complete answer was received.
    Answered,
    /// No connection could be made, so the request did not run.
    Refused,
    /// The endpoint rejected the request without running it, since all its slots were in use.
    Busy,
    /// The endpoint rejected the request without running it, since it is about to stop.
    Leaving,
    /// No answer was received before the deadline.
    TimedOut,
    /// The connection stalled or failed after the request was sent on it.
    Lost,
    /// The answer was cut off.
    Truncated,
    /// The answer belongs to another request.
    Mismatched,
    /// The attempt was abandoned, since another one answered first or the caller disconnected.
    Abandoned,
    /// A complete answer was streamed to the caller.
    Streamed,
    /// An answer was cut off while it was streamed to the caller.
    StreamLost,
}

impl AttemptResult {
    /// Returns whether the request certainly did not run in this attempt.
    pub fn is_not_run(self) -> bool {
        matches!(self, Self::Refused | Self::Busy | Self::Leaving)
    }

    /// Returns whether the endpoint failed, in contrast to answering or rejecting the request.
    pub fn is_failure(self) -> bool {
        matches!(
            self,
            Self::Refused
                | Self::TimedOut
                | Self::Lost
                | Self::Truncated
                | Self::Mismatched
                | Self::StreamLost
        )
    }

    /// Returns whether the request needs no further attempt.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            Self::Answered | Self::Abandoned | Self::Streamed | Self::StreamLost
        )
    }

    /// Returns the kind of error that the caller gets if this was the last attempt.
    pub fn error_kind(self) -> ErrorKind {
        match self {
            Self::Answered | Self::Abandoned | Self::Streamed => ErrorKind::Internal,
            Self::Refused => ErrorKind::EndpointRefused,
            Self::Busy => ErrorKind::Overloaded,
            Self::Leaving => ErrorKind::NoEndpoint,
            Self::TimedOut => ErrorKind::DeadlineAtEndpoint,
            Self::Lost => ErrorKind::EndpointLost,
            Self::Truncated | Self::StreamLost => ErrorKind::TruncatedAnswer,
            Self::Mismatched => ErrorKind::MismatchedAnswer,
        }
    }
}

/// The report of an attempt that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptReturn {
    /// The request.
    pub request: RequestId,
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// The result of the attempt.
    pub result: AttemptResult,
    /// The requests of all daemons in flight at the endpoint, if it reported the number.
    pub in_flight: Option<u32>,
}

/// An event that a dispatcher handles.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchEvent {
    /// A request was received.
    Arrived(QueuedRequest),
    /// The caller disconnected; the request is removed if it still waits.
    Cancelled(RequestId),
    /// A request was not sent until it could no longer be served in time.
    WaitExpired(RequestId),
    /// An attempt ended.
    Returned(AttemptReturn),
    /// An attempt took longer than `hedge_after`, so that a second one may be started beside it.
    HedgeDue(RequestId),
    /// Time passed while requests wait, so that endpoints may take requests again.
    Tick,
}

/// An action that a dispatcher requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send the request to an endpoint.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The time after which to report [`DispatchEvent::HedgeDue`], if at all.
        hedge_after: Option<Duration>,
    },
    /// Keep the request waiting, and report [`DispatchEvent::WaitExpired`] when the time is over.
    Wait {
        /// The request.
        request: RequestId,
        /// The time from which on the request can probably not be answered before its deadline.
        until: TimePoint,
    },
    /// Answer the request with an error.
    Fail {
        /// The request.
        request: RequestId,
        /// The kind of error.
        kind: ErrorKind,
        /// The time after which the caller may send the request again.
        retry_after: Duration,
    },
}
