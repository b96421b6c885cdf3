//! One HTTP call and the certainty of its effect.
//!
//! A call that fails while its connection is made took no effect. Once a connection stands, the
//! request may have arrived, so that a missing answer leaves the effect unknown. A connection that
//! stays silent is dropped with its call, together with all idle connections of the same client,
//! which may have been lost in the same way.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_model::prelude::{BootId, LogOffset, ShardTerm};
use geraniumshed_wire::common::WireError;
use geraniumshed_wire::platform::ErrorWire;
use reqwest::{Client, RequestBuilder};
use smol_str::{SmolStr, format_smolstr};

use crate::error::PlatformError;

/// How long the clients wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpTimeouts {
    /// The time to make a connection.
    pub connect: Duration,
    /// The time from then on to a whole answer, beyond the time that the call asks to wait.
    pub answer: Duration,
    /// The time after which an idle connection is not used again.
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

/// The idle connections that are kept to one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IdleLimit {
    /// One, so that a call after a silent connection makes a fresh one.
    One,
    /// As many as there were calls at once.
    Calls,
}

/// A client whose connections can be replaced all at once.
#[derive(Debug, Clone)]
pub(super) struct HttpTransport {
    client: Arc<RwLock<Client>>,
    timeouts: HttpTimeouts,
    idle: IdleLimit,
}

impl HttpTransport {
    /// Opens a client without any connection yet.
    pub(super) fn open(timeouts: HttpTimeouts, idle: IdleLimit) -> Self {
        Self {
            client: Arc::new(RwLock::new(build_client(timeouts, idle))),
            timeouts,
            idle,
        }
    }

    /// Returns the client with which a request is built.
    pub(super) fn client(&self) -> Client {
        self.client
            .read()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Sends a request and returns the body of its answer, waiting `wait` longer than usual.
    pub(super) async fn call(
        &self,
        request: RequestBuilder,
        wait: Duration,
    ) -> Result<Bytes, PlatformError> {
        let limit = self.timeouts.connect + self.timeouts.answer + wait;
        let response = match request.timeout(limit).send().await {
            Ok(response) => response,
            Err(error) => return Err(self.lost_call(&error)),
        };
        let status = response.status();
        let body = match response.bytes().await {
            Ok(body) => body,
            Err(error) => return Err(self.lost_call(&error)),
        };
        if status.as_u16() == 200 {
            return Ok(body);
        }
        Err(refusal(status.as_u16(), &body))
    }

    /// Tells what is known of a call without an answer.
    fn lost_call(&self, error: &reqwest::Error) -> PlatformError {
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

    /// Drops every idle connection to a platform that has gone silent.
    fn replace_connections(&self) {
        match self.idle {
            // The silent connection itself was dropped with its call.
            IdleLimit::One => {}
            IdleLimit::Calls => {
                let client = build_client(self.timeouts, self.idle);
                *self.client.write().unwrap_or_else(PoisonError::into_inner) = client;
            }
        }
    }
}

fn build_client(timeouts: HttpTimeouts, idle: IdleLimit) -> Client {
    // An error only says that a provider is installed already.
    drop(rustls::crypto::ring::default_provider().install_default());
    let builder = Client::builder()
        .no_proxy()
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(timeouts.connect)
        .pool_idle_timeout(timeouts.idle)
        .tcp_nodelay(true);
    let builder = match idle {
        IdleLimit::One => builder.pool_max_idle_per_host(1),
        IdleLimit::Calls => builder,
    };
    builder
        .build()
        .expect("a client without certificates of its own can be built")
}

/// Returns the messages of an error and of its causes.
fn error_chain(error: &dyn std::error::Error) -> SmolStr {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text = format!("{text}: {cause}");
        source = cause.source();
    }
    text.into()
}

/// Converts an answer that is not a success.
fn refusal(status: u16, body: &[u8]) -> PlatformError {
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
        Err(_) => unexplained(status),
    }
}

/// Judges a status without an explanation, as gateways in between send it.
fn unexplained(status: u16) -> PlatformError {
    let reason = format_smolstr!("status {status} without an explanation");
    match status {
        400..500 => PlatformError::Rejected { reason },
        _ => PlatformError::AnswerLost { reason },
    }
}

/// Converts an answer that was read whole and can't be understood.
pub(super) fn unreadable(error: WireError) -> PlatformError {
    PlatformError::AnswerLost {
        reason: format_smolstr!("{error}"),
    }
}
