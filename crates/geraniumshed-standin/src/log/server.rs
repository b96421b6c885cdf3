//! The HTTP interface of the log.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_wire::platform::{AppendReplyWire, ErrorWire, LogEntryWire, LogPageWire, encode};
use http::{Method, Request};
use hyper::body::Incoming;
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::store::{LogStore, Retention, StoredPage};
use crate::clock::StandinClock;
use crate::http::{
    ConnectionAborted, HttpHandler, HttpResponse, HttpServer, ServerMode, TrafficReport,
    binary_response, error_response, query_value, read_body,
};

/// The maximum number of concurrent connections to the log.
const CONNECTION_LIMIT: usize = 4096;

/// The maximum time that a read waits for new entries.
const WAIT_LIMIT: Duration = Duration::from_mins(1);

/// The faults that apply to calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogMode {
    /// Whether all calls fail as unavailable.
    pub down: bool,
    /// The delay added to each call.
    pub delay: Duration,
    /// The number of next appends that take effect but whose response is lost.
    pub lost_answers: u32,
    /// Whether the responses to all appends are lost.
    pub lose_all_answers: bool,
}

/// A running stand-in for the log.
#[derive(Debug)]
pub struct LogServer {
    server: HttpServer,
    shared: LogHandler,
}

impl LogServer {
    /// Binds an empty log to a port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the port can't be taken.
    pub fn bind(port: u16, clock: StandinClock, retention: Retention) -> io::Result<Self> {
        let (changes, _) = watch::channel(0);
        let shared = LogHandler {
            inner: Arc::new(LogInner {
                clock,
                store: Mutex::new(LogStore::new(retention)),
                mode: Mutex::new(LogMode::default()),
                changes,
            }),
        };
        let server = HttpServer::bind(port, CONNECTION_LIMIT, shared.clone())?;
        Ok(Self { server, shared })
    }

    /// Returns the address of the log.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults that apply to calls.
    pub fn set_mode(&self, mode: LogMode) {
        *self.shared.mode() = mode;
        // Wakes waiting reads, which have to report an outage at once.
        self.shared.inner.changes.send_modify(|count| *count += 1);
    }

    /// Returns the faults that apply to calls.
    pub fn mode(&self) -> LogMode {
        *self.shared.mode()
    }

    /// Returns the traffic of the log so far.
    pub fn traffic(&self) -> TrafficReport {
        self.server.traffic()
    }

    /// Sets how the log handles connections.
    pub fn set_server_mode(&self, mode: ServerMode) {
        self.server.set_mode(mode);
    }

    /// Changes the retention limits and drops entries beyond them.
    pub fn set_retention(&self, retention: Retention) {
        let now = self.shared.inner.clock.now();
        self.shared.store().set_retention(now, retention);
    }

    /// Drops all but the last `keep` entries of each stream.
    pub fn expire(&self, keep: usize) {
        self.shared.store().expire(keep);
    }

    /// Returns the number of appends that took effect.
    pub fn appends(&self) -> u64 {
        self.shared.store().appends()
    }
}

#[derive(Debug)]
struct LogInner {
    clock: StandinClock,
    store: Mutex<LogStore>,
    mode: Mutex<LogMode>,
    changes: watch::Sender<u64>,
}

/// Handles the calls to the log.
#[derive(Debug, Clone)]
struct LogHandler {
    inner: Arc<LogInner>,
}

impl HttpHandler for LogHandler {
    fn route(&self, request: &Request<Incoming>) -> &'static str {
        let appends = request.method() == Method::POST;
        let stream = request.uri().path().strip_prefix("/streams/").unwrap_or("");
        let kind = stream.split('-').next().unwrap_or("");
        match (kind, appends) {
            ("config", true) => "append config",
            ("config", false) => "read config",
            ("claims", true) => "append claims",
            ("claims", false) => "read claims",
            ("endpoints", true) => "append endpoints",
            ("endpoints", false) => "read endpoints",
            ("shard", true) => "append shard",
            ("shard", false) => "read shard",
            ("keys", true) => "append keys",
            ("keys", false) => "read keys",
            _ => "other",
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionAborted> {
        let path = request.uri().path().to_owned();
        let Some(stream) = path.strip_prefix("/streams/") else {
            return Ok(error_response(&unknown_route_error(&path)));
        };
        match *request.method() {
            Method::POST => self.append(stream, request).await,
            Method::GET => {
                self.delay().await;
                Ok(self.read(stream, request.uri().query()).await)
            }
            _ => Ok(error_response(&unknown_route_error(&path))),
        }
    }
}

impl LogHandler {
    fn store(&self) -> MutexGuard<'_, LogStore> {
        self.inner
            .store
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn mode(&self) -> MutexGuard<'_, LogMode> {
        self.inner
            .mode
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    async fn append(
        &self,
        stream: &str,
        request: Request<Incoming>,
    ) -> Result<HttpResponse, ConnectionAborted> {
        let body = read_body(request).await?;
        let handler = self.clone();
        let stream = SmolStr::new(stream);
        // Runs in its own task, since an append takes effect even if its caller disconnects.
        let append = tokio::spawn(async move { handler.append_after_delay(&stream, body).await });
        append.await.map_err(|_| ConnectionAborted)?
    }

    async fn append_after_delay(
        &self,
        stream: &str,
        body: Bytes,
    ) -> Result<HttpResponse, ConnectionAborted> {
        self.delay().await;
        if self.mode().down {
            return Ok(error_response(&outage_error()));
        }
        let offset = self.store().append(self.inner.clock.now(), stream, body);
        self.inner.changes.send_modify(|count| *count += 1);
        if self.take_lost_answer() {
            return Err(ConnectionAborted);
        }
        Ok(binary_response(encode(&AppendReplyWire { offset })))
    }

    async fn delay(&self) {
        let delay = self.mode().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }

    fn take_lost_answer(&self) -> bool {
        let mut mode = self.mode();
        if mode.lose_all_answers {
            return true;
        }
        let loses = mode.lost_answers > 0;
        mode.lost_answers = mode.lost_answers.saturating_sub(1);
        loses
    }

    async fn read(&self, stream: &str, query: Option<&str>) -> HttpResponse {
        let from = query_value(query, "from").unwrap_or("0").parse();
        let wait = query_value(query, "wait").unwrap_or("0").parse();
        let (Ok(from), Ok(wait)) = (from, wait) else {
            return error_response(&ErrorWire::Rejected {
                reason: "`from` and `wait` have to be whole numbers".into(),
            });
        };
        let wait = Duration::from_millis(wait).min(WAIT_LIMIT);
        let deadline = Instant::now() + wait;
        let mut changes = self.inner.changes.subscribe();
        loop {
            if self.mode().down {
                return error_response(&outage_error());
            }
            let page = self.store().read(self.inner.clock.now(), stream, from);
            match page {
                Err(first) => return error_response(&ErrorWire::Expired { first }),
                Ok(page) if !page.entries.is_empty() => return page_reply(page),
                Ok(page) => {
                    if timeout_at(deadline, changes.changed()).await.is_err() {
                        return page_reply(page);
                    }
                }
            }
        }
    }
}

fn page_reply(page: StoredPage) -> HttpResponse {
    let entries = page.entries.into_iter().map(|(offset, body)| LogEntryWire {
        offset,
        body: body.into(),
    });
    binary_response(encode(&LogPageWire {
        first: page.first,
        end: page.end,
        entries: entries.collect(),
    }))
}

fn outage_error() -> ErrorWire {
    ErrorWire::Unavailable {
        reason: "the log is down".into(),
    }
}

fn unknown_route_error(path: &str) -> ErrorWire {
    ErrorWire::Rejected {
        reason: format_smolstr!("there is no route `{path}`"),
    }
}
