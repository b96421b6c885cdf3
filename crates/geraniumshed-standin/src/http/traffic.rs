//! Traffic counters of a server: bytes on its connections and calls by route.

use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};

use serde::Serialize;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The traffic of one or more servers.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct TrafficReport {
    /// The number of accepted connections.
    pub connections: u64,
    /// The number of bytes received, including headers.
    pub bytes_in: u64,
    /// The number of bytes sent, including headers.
    pub bytes_out: u64,
    /// The calls by route.
    pub routes: BTreeMap<&'static str, RouteTraffic>,
}

/// The traffic of one route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct RouteTraffic {
    /// The number of calls.
    pub calls: u64,
    /// The total size of the response bodies whose length was declared.
    pub reply_bytes: u64,
}

impl TrafficReport {
    /// Returns the sum of two reports.
    #[must_use]
    pub fn plus(mut self, other: &Self) -> Self {
        self.connections += other.connections;
        self.bytes_in += other.bytes_in;
        self.bytes_out += other.bytes_out;
        for (route, traffic) in &other.routes {
            let sum = self.routes.entry(route).or_default();
            sum.calls += traffic.calls;
            sum.reply_bytes += traffic.reply_bytes;
        }
        self
    }
}

/// The counters of one server.
#[derive(Debug, Default)]
pub(super) struct TrafficCounter {
    connections: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    routes: Mutex<BTreeMap<&'static str, RouteTraffic>>,
}

impl TrafficCounter {
    /// Counts a call to a route.
    pub(super) fn add_call(&self, route: &'static str, reply_bytes: u64) {
        let mut routes = self.routes();
        let traffic = routes.entry(route).or_default();
        traffic.calls += 1;
        traffic.reply_bytes += reply_bytes;
    }

    /// Returns the current counts.
    pub(super) fn report(&self) -> TrafficReport {
        TrafficReport {
            connections: self.connections.load(Ordering::Relaxed),
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
            routes: self.routes().clone(),
        }
    }

    fn routes(&self) -> MutexGuard<'_, BTreeMap<&'static str, RouteTraffic>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that counts its bytes.
#[derive(Debug)]
pub(super) struct CountedStream {
    stream: TcpStream,
    counter: Arc<TrafficCounter>,
}

impl CountedStream {
    /// Counts a new connection and wraps its stream.
    pub(super) fn new(stream: TcpStream, counter: Arc<TrafficCounter>) -> Self {
        counter.connections.fetch_add(1, Ordering::Relaxed);
        Self { stream, counter }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let read = (buf.filled().len() - before) as u64;
        self.counter.bytes_in.fetch_add(read, Ordering::Relaxed);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        let bytes = written as u64;
        self.counter.bytes_out.fetch_add(bytes, Ordering::Relaxed);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
