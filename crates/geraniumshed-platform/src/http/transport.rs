//! HTTP calls, and whether a failed call may have taken effect.
//!
//! A call that fails to connect had no effect. Once a connection is established, the request may
//! have arrived, so if the answer is missing, the effect is unknown. When a call times out, its
//! connection is closed together with all idle connections of the same client, which may be broken
//! for the same reason.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use geraniumshed_model::prelude::{BootId, LogOffset, ShardTerm};
use geraniumshed_wire::common::WireError;
use geraniumshed_wire::platform::ErrorWire;
use reqwest::{Client, RequestBuilder, Response};
use smol_str::{SmolStr, format_smolstr};
use tokio::time::timeout;

use crate::error::PlatformError;

/// The timeouts of the HTTP clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpTimeouts {
    /// The time to establish a connection.
    pub connect: Duration,
    /// The time from the connection to the head of the answer, in addition to the time for which the
    /// call asks the platform to wait, and the longest time without a byte of the rest.
    pub answer: Duration,
    /// The time after which an idle connection is closed.
    pub idle: Duration,
}

impl Default for HttpTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_millis(500),
            answer: Duration::from_secs(2),
            idle: Duration::from_secs(30),
        }
    }
}

/// The maximum number of idle connections to each address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleLimit {
    /// One, so that the call after a timeout opens a new connection.
    One,
    /// No limit: as many as there were concurrent calls.
    Unlimited,
}

/// An HTTP client that can replace all of its connections at once.
#[derive(Debug, Clone)]
pub(super) struct HttpTransport {
    client: Arc<RwLock<Client>>,
    timeouts: HttpTimeouts,
    idle: IdleLimit,
}

impl HttpTransport {
    /// Creates a client, which connects on the first call.
    pub(super) fn open(timeouts: HttpTimeouts, idle: IdleLimit) -> Self {
        Self {
            client: Arc::new(RwLock::new(build_client(timeouts, idle))),
            timeouts,
            idle,
        }
    }

    /// Returns the current client, to build a request with.
    pub(super) fn client(&self) -> Client {
        self.client
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends a request and returns the body of the answer. Adds `wait` to the usual timeout.
    pub(super) async fn call(
        &self,
        request: RequestBuilder,
        wait: Duration,
    ) -> Result<Bytes, PlatformError> {
        let limit = self.timeouts.connect + self.timeouts.answer + wait;
        let response = match timeout(limit, request.send()).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) => return Err(self.classify_failure(&error)),
            Err(_) => return Err(self.answer_timed_out("the answer did not begin in time")),
        };
        let status = response.status();
        let body = self.receive(response).await?;
        if status.as_u16() == 200 {
            return Ok(body);
        }
        Err(error_from_answer(status.as_u16(), &body))
    }

    /// Receives the body of an answer for as long as bytes arrive, since a large one takes long on a
    /// narrow link.
    async fn receive(&self, mut response: Response) -> Result<Bytes, PlatformError> {
        let mut body = BytesMut::new();
        loop {
            match timeout(self.timeouts.answer, response.chunk()).await {
                Ok(Ok(Some(chunk))) => body.extend_from_slice(&chunk),
                Ok(Ok(None)) => return Ok(body.freeze()),
                Ok(Err(error)) => return Err(self.classify_failure(&error)),
                Err(_) => return Err(self.answer_timed_out("the answer stopped arriving")),
            }
        }
    }

    fn answer_timed_out(&self, reason: &'static str) -> PlatformError {
        self.replace_connections();
        PlatformError::AnswerLost {
            reason: SmolStr::new_static(reason),
        }
    }

    /// Returns the error for a call that got no complete answer.
    fn classify_failure(&self, error: &reqwest::Error) -> PlatformError {
        let reason = error_chain(error);
        if error.is_builder() {
            return PlatformError::Rejected { reason };
        }
        if error.is_connect() {
            return PlatformError::Unreachable { reason };
        }
        if error.is_timeout() {
            self.replace_connections();
        }
        PlatformError::AnswerLost { reason }
    }

    /// Drops all idle connections after a timeout.
    fn replace_connections(&self) {
        match self.idle {
            // The connection that timed out was closed with its call.
            IdleLimit::One => {}
            IdleLimit::Unlimited => {
                let client = build_client(self.timeouts, self.idle);
                *self.client.write().unwrap_or_else(PoisonError::into_inner) = client;
            }
        }
    }
}

fn build_client(timeouts: HttpTimeouts, idle: IdleLimit) -> Client {
    // An error only means that a provider has been installed already.
    drop(rustls::crypto::ring::default_provider().install_default());
    let builder = Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(timeouts.connect)
        .pool_idle_timeout(timeouts.idle)
        .tcp_nodelay(true);
    let builder = match idle {
        IdleLimit::One => builder.pool_max_idle_per_host(1),
        IdleLimit::Unlimited => builder,
    };
    builder
        .build()
        .expect("an HTTP client without custom certificates can be built")
}

/// Returns the messages of an error and its causes.
fn error_chain(error: &dyn std::error::Error) -> SmolStr {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text.into()
}

/// Converts the answer of a failed call to an error.
fn error_from_answer(status: u16, body: &[u8]) -> PlatformError {
    match serde_json::from_slice(body) {
        Ok(ErrorWire::Unavailable { reason }) => PlatformError::Unavailable { reason },
        Ok(ErrorWire::Rejected { reason }) => PlatformError::Rejected { reason },
        Ok(ErrorWire::Expired { first }) => PlatformError::Expired {
            first: LogOffset(first),
        },
        Ok(ErrorWire::StaleTerm { held }) => PlatformError::StaleTerm {
            held: ShardTerm(held),
        },
        Ok(ErrorWire::WrongBoot { boot }) => PlatformError::WrongBoot { boot: BootId(boot) },
        Err(_) => error_from_status(status),
    }
}

/// Returns the error for a status without an error body, as proxies send it.
fn error_from_status(status: u16) -> PlatformError {
    let reason = format_smolstr!("HTTP status {status} without an error body");
    match status {
        400..500 => PlatformError::Rejected { reason },
        _ => PlatformError::AnswerLost { reason },
    }
}

/// Returns the error for a complete answer that can't be decoded.
pub(super) fn undecodable_answer(error: WireError) -> PlatformError {
    PlatformError::AnswerLost {
        reason: format_smolstr!("{error}"),
    }
}
