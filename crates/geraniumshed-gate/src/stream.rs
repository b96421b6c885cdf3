//! A connection whose reads are reserved first, and that reads nothing while answers aren't taken.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::account::ConnectionAccount;
use crate::cause::RefusalCause;

/// A connection whose reads are reserved first.
#[derive(Debug)]
pub(crate) struct GuardedStream<S> {
    pub(crate) stream: S,
    pub(crate) account: Arc<ConnectionAccount>,
}

impl<S> GuardedStream<S> {
    /// Records what a write has taken of the bytes that were ready.
    fn record_write(&self, ready: usize, taken: &Poll<io::Result<usize>>) {
        let taken = match taken {
            Poll::Ready(Ok(taken)) => *taken,
            Poll::Ready(Err(_)) => return,
            Poll::Pending => 0,
        };
        self.account.record_write(ready, taken);
        if taken < ready && !self.account.reserve() {
            self.account.close(RefusalCause::Memory);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for GuardedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.account.is_blocked() {
            // The task is woken when the client takes more of its answer, or at the deadline.
            return Poll::Pending;
        }
        if !self.account.reserve() {
            self.account.close(RefusalCause::Memory);
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if read.is_pending() {
            self.account.await_read();
        }
        ready!(read)?;
        self.account.add_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for GuardedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let taken = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(buf.len(), &taken);
        taken
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let taken = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(bufs.iter().map(|part| part.len()).sum(), &taken);
        taken
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
