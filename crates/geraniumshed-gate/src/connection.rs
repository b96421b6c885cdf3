//! Serves connections within the limits of their gate.

use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use http::{Request, Response};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::Watcher;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Instant, Sleep, sleep_until};

use crate::account::ConnectionAccount;
use crate::cause::RefusalCause;
use crate::stream::GuardedStream;

/// The body of a request, which tells the account when all of it has arrived.
#[derive(Debug)]
pub struct GuardedBody {
    body: Incoming,
    account: Arc<ConnectionAccount>,
}

impl GuardedBody {
    /// Returns the account of the connection.
    pub fn account(&self) -> &Arc<ConnectionAccount> {
        &self.account
    }
}

impl Body for GuardedBody {
    type Data = <Incoming as Body>::Data;
    type Error = <Incoming as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() || self.body.is_end_stream() {
            self.account.receive();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// A request that is not answered yet; its memory is released on drop.
#[derive(Debug)]
struct Exchange(Arc<ConnectionAccount>);

impl Drop for Exchange {
    fn drop(&mut self) {
        self.0.finish();
    }
}

/// The body of an answer. Its request counts as answered once all of it is with the HTTP library.
#[derive(Debug)]
struct GuardedAnswer<B> {
    body: B,
    _exchange: Exchange,
}

impl<B: Body + Unpin> Body for GuardedAnswer<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// Serves a connection until it is closed, or until the gate closes it.
///
/// # Errors
///
/// Returns the HTTP library's error if the connection fails.
pub async fn serve_connection<S, H, B>(
    account: ConnectionAccount,
    stream: S,
    handler: H,
    watcher: Watcher,
) -> hyper::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Service<Request<GuardedBody>, Response = Response<B>> + Send + Sync + 'static,
    H::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    H::Future: Send,
    B: Body + Unpin + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let account = Arc::new(account);
    let settings = *account.settings();
    let known = Arc::clone(&account);
    let service = service_fn(move |request: Request<Incoming>| {
        known.begin();
        let exchange = Exchange(Arc::clone(&known));
        let account = Arc::clone(&known);
        let request = request.map(|body| {
            if body.is_end_stream() {
                account.receive();
            }
            GuardedBody { body, account }
        });
        let answering = handler.call(request);
        async move {
            let response = answering.await?;
            Ok::<_, H::Error>(response.map(|body| GuardedAnswer {
                body,
                _exchange: exchange,
            }))
        }
    });
    let stream = GuardedStream {
        stream,
        account: Arc::clone(&account),
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The account has separate deadlines for idle connections and for headers.
        .header_read_timeout(settings.idle_timeout + settings.header_timeout)
        .max_buf_size(settings.header_bytes)
        .max_headers(settings.header_count)
        .pipeline_flush(false)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(watcher.watch(connection));
    let mut deadline = pin!(sleep_until(Instant::now() + settings.idle_timeout));
    let ended = poll_fn(|cx| {
        if let Some(cause) = poll_close(&account, deadline.as_mut(), cx) {
            return Poll::Ready(Err(cause));
        }
        if let Poll::Ready(result) = connection.as_mut().poll(cx) {
            return Poll::Ready(Ok(result));
        }
        // The connection may have got another deadline.
        match poll_close(&account, deadline.as_mut(), cx) {
            Some(cause) => Poll::Ready(Err(cause)),
            None => Poll::Pending,
        }
    });
    match ended.await {
        Ok(result) => result,
        Err(cause) => {
            account.count(cause);
            Ok(())
        }
    }
}

/// Returns why a connection is to be closed, if so, and lets its task be woken at its deadline.
fn poll_close(
    account: &ConnectionAccount,
    mut timer: Pin<&mut Sleep>,
    cx: &mut Context<'_>,
) -> Option<RefusalCause> {
    loop {
        let next = match account.check(cx.waker()) {
            Ok(next) => next,
            Err(cause) => return Some(cause),
        };
        // Without a deadline, the connection looks again later.
        let next = next.unwrap_or_else(|| Instant::now() + account.settings().idle_timeout);
        if timer.is_elapsed() || next < timer.deadline() {
            timer.as_mut().reset(next);
        }
        if timer.as_mut().poll(cx).is_pending() {
            return None;
        }
    }
}
