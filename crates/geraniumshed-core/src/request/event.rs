//! The events that a dispatcher takes and the actions that it gives back.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use geraniumshed_model::prelude::{ErrorKind, RequestId, TimePoint, UrgencyClass};

/// The index of an endpoint in its dispatcher; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EndpointIndex(pub u32);

impl Display for EndpointIndex {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        Display::fmt(&self.0, f)
    }
}

/// A request as the dispatcher sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedRequest {
    /// The id.
    pub id: RequestId,
    /// How soon the request is served when not all can be.
    pub urgency: UrgencyClass,
    /// The time at which the request came.
    pub arrived: TimePoint,
    /// The time until which an answer is of use.
    pub deadline: TimePoint,
    /// Whether a second run does no harm.
    pub idempotent: bool,
    /// Whether the body is still at hand for another attempt.
    pub replayable: bool,
}

/// How an attempt at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptResult {
    /// A whole answer came.
    Answered,
    /// No connection was made, so that the request did not run there.
    Refused,
    /// The endpoint said that it is full and did not run the request.
    Busy,
    /// The endpoint said that it is leaving and did not run the request.
    Leaving,
    /// No answer came before the deadline.
    TimedOut,
    /// The connection made no progress or failed after the request was handed to it.
    Lost,
    /// The answer was cut off.
    Truncated,
    /// The answer was for another request.
    Mismatched,
    /// The attempt was given up because another one answered first or the caller is gone.
    Abandoned,
    /// A whole answer was passed on while it came.
    Streamed,
    /// An answer that was being passed on while it came was cut off.
    StreamLost,
}

impl AttemptResult {
    /// Tells whether the request certainly did not run in this attempt.
    pub fn is_unrun(self) -> bool {
        matches!(self, Self::Refused | Self::Busy | Self::Leaving)
    }

    /// Tells whether the endpoint failed, rather than answered or declined.
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

    /// Tells whether the request needs no further attempt.
    pub fn is_final(self) -> bool {
        matches!(
            self,
            Self::Answered | Self::Abandoned | Self::Streamed | Self::StreamLost
        )
    }

    /// Returns the kind of error that the caller sees if this was the last attempt.
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

/// The end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptReturn {
    /// The request.
    pub request: RequestId,
    /// The endpoint.
    pub endpoint: EndpointIndex,
    /// How the attempt ended.
    pub result: AttemptResult,
    /// The requests in flight at the endpoint from all daemons, if it told.
    pub in_flight: Option<u32>,
}

/// What happens to a dispatcher.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchEvent {
    /// A request came.
    Arrived(QueuedRequest),
    /// A request's caller is gone; if it still waits, it is forgotten.
    Withdrawn(RequestId),
    /// A request waited until it could no longer be served in time.
    WaitedOut(RequestId),
    /// An attempt ended.
    Returned(AttemptReturn),
    /// An attempt took so long that a second one may be worth it.
    HedgeDue(RequestId),
    /// Time passed while requests wait.
    Tick,
}

/// What a dispatcher wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DispatchAction {
    /// Send the request to an endpoint.
    Send {
        /// The request.
        request: RequestId,
        /// The endpoint.
        endpoint: EndpointIndex,
        /// The time after which the dispatcher wants [`DispatchEvent::HedgeDue`].
        hedge_after: Option<Duration>,
    },
    /// Keep the request waiting, and report [`DispatchEvent::WaitedOut`] at a point of time.
    Wait {
        /// The request.
        request: RequestId,
        /// The point of time.
        until: TimePoint,
    },
    /// Answer the request with an error.
    Fail {
        /// The request.
        request: RequestId,
        /// The kind of error.
        kind: ErrorKind,
        /// The time after which the caller may come back.
        retry_after: Duration,
    },
}
