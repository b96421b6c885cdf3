//! The HTTP client of the workers.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_model::prelude::{ExchangeReply, ExchangeRequest, SeizeReply, SeizeRequest};
use geraniumshed_wire::platform::{
    ExchangeReplyWire, ExchangeRequestWire, SeizeReplyWire, SeizeRequestWire, decode, encode,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::transport::{HttpTimeouts, HttpTransport, IdleLimit, undecodable_answer};
use crate::error::PlatformError;
use crate::worker::WorkerClient;

/// A client of the HTTP interfaces of all workers.
#[derive(Debug, Clone)]
pub struct HttpWorkers {
    transport: HttpTransport,
}

impl HttpWorkers {
    /// Creates a client, which connects on the first call.
    pub fn open(timeouts: HttpTimeouts) -> Self {
        Self {
            transport: HttpTransport::open(timeouts, IdleLimit::One),
        }
    }

    async fn call<W: Serialize, R: DeserializeOwned>(
        &self,
        address: SocketAddr,
        route: &'static str,
        request: &W,
    ) -> Result<R, PlatformError> {
        let url = format!("http://{address}/{route}");
        let request = self.transport.client().post(url).body(encode(request));
        let answer = self.transport.call(request, Duration::ZERO).await?;
        decode(&answer).map_err(undecodable_answer)
    }
}

impl WorkerClient for HttpWorkers {
    async fn seize(
        &self,
        address: SocketAddr,
        request: SeizeRequest,
    ) -> Result<SeizeReply, PlatformError> {
        let request = SeizeRequestWire::from(&request);
        let reply: SeizeReplyWire = self.call(address, "seize", &request).await?;
        reply.try_into().map_err(undecodable_answer)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, PlatformError> {
        let request = ExchangeRequestWire::from(&request);
        let reply: ExchangeReplyWire = self.call(address, "exchange", &request).await?;
        reply.try_into().map_err(undecodable_answer)
    }
}
