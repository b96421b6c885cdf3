//! Counts the bytes on connections between daemons.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Counts the bytes that are read from and written to a set of connections.
#[derive(Debug, Default)]
pub struct ByteCounter {
    read: AtomicU64,
    written: AtomicU64,
}

/// The bytes read from and written to a set of connections, without TCP and IP headers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TrafficCount {
    /// The bytes that were read.
    pub read: u64,
    /// The bytes that were written.
    pub written: u64,
}

impl ByteCounter {
    /// Returns the bytes so far.
    pub fn count(&self) -> TrafficCount {
        TrafficCount {
            read: self.read.load(Ordering::Relaxed),
            written: self.written.load(Ordering::Relaxed),
        }
    }
}

/// The bytes between this daemon and its peers so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerTraffic {
    /// Heartbeats that this daemon sent, and their answers.
    pub heartbeats: TrafficCount,
    /// Requests that this daemon forwarded, and their answers.
    pub forwards: TrafficCount,
    /// Calls of peers, and this daemon's answers.
    pub served: TrafficCount,
}

/// A stream whose bytes are counted.
#[derive(Debug)]
pub(super) struct CountedStream<S> {
    stream: S,
    counter: Arc<ByteCounter>,
}

impl<S> CountedStream<S> {
    /// Wraps a stream.
    pub(super) fn new(stream: S, counter: Arc<ByteCounter>) -> Self {
        Self { stream, counter }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        add(&self.counter.read, buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        add(&self.counter.written, written);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

fn add(counter: &AtomicU64, bytes: usize) {
    let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
    counter.fetch_add(bytes, Ordering::Relaxed);
}
