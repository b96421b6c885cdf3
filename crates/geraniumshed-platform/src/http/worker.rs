//! Workers over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use geraniumshed_model::prelude::{ExchangeReply, ExchangeRequest, SeizeReply, SeizeRequest};
use geraniumshed_wire::platform::{
    ExchangeReplyWire, ExchangeRequestWire, SeizeReplyWire, SeizeRequestWire, decode, encode,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::transport::{HttpTimeouts, HttpTransport, IdleLimit, unreadable};
use crate::error::PlatformError;
use crate::worker::WorkerClient;

/// A client of all workers' HTTP interfaces.
#[derive(Debug, Clone)]
pub struct HttpWorkers {
    transport: HttpTransport,
}

impl HttpWorkers {
    /// Opens a client without any connection yet.
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
        decode(&answer).map_err(unreadable)
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
        reply.try_into().map_err(unreadable)
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, PlatformError> {
        let request = ExchangeRequestWire::from(&request);
        let reply: ExchangeReplyWire = self.call(address, "exchange", &request).await?;
        reply.try_into().map_err(unreadable)
    }
}
