//! The HTTP client of the log.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_model::prelude::{LogOffset, LogStream};
use geraniumshed_wire::platform::{AppendReplyWire, LogPageWire, decode};

use super::transport::{HttpTimeouts, HttpTransport, IdleLimit, undecodable_answer};
use crate::error::PlatformError;
use crate::log::{LogClient, LogEntry, LogPage};

/// A client of the log's HTTP interface.
#[derive(Debug, Clone)]
pub struct HttpLog {
    transport: HttpTransport,
    address: SocketAddr,
}

impl HttpLog {
    /// Creates a client of the log at an address.
    pub fn open(address: SocketAddr, timeouts: HttpTimeouts) -> Self {
        Self {
            transport: HttpTransport::open(timeouts, IdleLimit::Unlimited),
            address,
        }
    }

    fn url(&self, stream: LogStream) -> String {
        format!("http://{}/streams/{stream}", self.address)
    }
}

impl LogClient for HttpLog {
    async fn append(&self, stream: LogStream, body: Bytes) -> Result<LogOffset, PlatformError> {
        let request = self.transport.client().post(self.url(stream)).body(body);
        let answer = self.transport.call(request, Duration::ZERO).await?;
        let reply: AppendReplyWire = decode(&answer).map_err(undecodable_answer)?;
        Ok(LogOffset(reply.offset))
    }

    async fn read(
        &self,
        stream: LogStream,
        from: LogOffset,
        wait: Duration,
    ) -> Result<LogPage, PlatformError> {
        let url = format!("{}?from={from}&wait={}", self.url(stream), wait.as_millis());
        let request = self.transport.client().get(url);
        let answer = self.transport.call(request, wait).await?;
        let page: LogPageWire = decode(&answer).map_err(undecodable_answer)?;
        Ok(LogPage {
            first: LogOffset(page.first),
            end: LogOffset(page.end),
            entries: page
                .entries
                .into_iter()
                .map(|entry| LogEntry {
                    offset: LogOffset(entry.offset),
                    body: entry.body.into(),
                })
                .collect(),
        })
    }
}
