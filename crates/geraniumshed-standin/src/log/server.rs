//! The log's HTTP interface.

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
use crate::clock::TruthClock;
use crate::http::{
    BrokenOff, HttpHandler, HttpReply, HttpServer, ServerMode, TrafficReport, binary_reply,
    error_reply, query_value, read_body,
};

/// The connections that the log takes at once.
const CONNECTION_LIMIT: usize = 4096;

/// The longest time for which a read waits.
const WAIT_LIMIT: Duration = Duration::from_mins(1);

/// How the log treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LogMode {
    /// Whether the log takes no call.
    pub down: bool,
    /// The time that each call takes in addition.
    pub delay: Duration,
    /// The number of appends to come that take effect and whose answer is lost.
    pub lost_answers: u32,
    /// Whether the answer to every append is lost.
    pub lose_all_answers: bool,
}

/// The running stand-in of the log.
#[derive(Debug)]
pub struct LogServer {
    server: HttpServer,
    shared: LogHandler,
}

impl LogServer {
    /// Binds a log without entries to a port.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the port can't be taken.
    pub fn bind(port: u16, clock: TruthClock, retention: Retention) -> io::Result<Self> {
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

    /// Changes how the log treats calls.
    pub fn set_mode(&self, mode: LogMode) {
        *self.shared.mode() = mode;
        // Readers that wait have to see an outage at once.
        self.shared.inner.changes.send_modify(|count| *count += 1);
    }

    /// Returns how the log treats calls.
    pub fn mode(&self) -> LogMode {
        *self.shared.mode()
    }

    /// Returns what went through the log so far.
    pub fn traffic(&self) -> TrafficReport {
        self.server.traffic()
    }

    /// Changes how the log treats connections.
    pub fn set_server_mode(&self, mode: ServerMode) {
        self.server.set_mode(mode);
    }

    /// Changes what the log keeps.
    pub fn set_retention(&self, retention: Retention) {
        let now = self.shared.inner.clock.now();
        self.shared.store().set_retention(now, retention);
    }

    /// Drops all entries but the last `keep` of each stream.
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
    clock: TruthClock,
    store: Mutex<LogStore>,
    mode: Mutex<LogMode>,
    changes: watch::Sender<u64>,
}

/// Answers the calls of the log.
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

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpReply, BrokenOff> {
        let path = request.uri().path().to_owned();
        let Some(stream) = path.strip_prefix("/streams/") else {
            return Ok(error_reply(&unknown_route(&path)));
        };
        match *request.method() {
            Method::POST => self.append(stream, request).await,
            Method::GET => {
                self.delay().await;
                Ok(self.read(stream, request.uri().query()).await)
            }
            _ => Ok(error_reply(&unknown_route(&path))),
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
    ) -> Result<HttpReply, BrokenOff> {
        let body = read_body(request).await?;
        let handler = self.clone();
        let stream = SmolStr::new(stream);
        // A task of its own, since an append takes effect even if its caller no longer waits.
        let append = tokio::spawn(async move { handler.append_late(&stream, body).await });
        append.await.map_err(|_| BrokenOff)?
    }

    async fn append_late(&self, stream: &str, body: Bytes) -> Result<HttpReply, BrokenOff> {
        self.delay().await;
        if self.mode().down {
            return Ok(error_reply(&outage()));
        }
        let offset = self.store().append(self.inner.clock.now(), stream, body);
        self.inner.changes.send_modify(|count| *count += 1);
        if self.loses_answer() {
            return Err(BrokenOff);
        }
        Ok(binary_reply(encode(&AppendReplyWire { offset })))
    }

    async fn delay(&self) {
        let delay = self.mode().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
    }

    fn loses_answer(&self) -> bool {
        let mut mode = self.mode();
        if mode.lose_all_answers {
            return true;
        }
        let loses = mode.lost_answers > 0;
        mode.lost_answers = mode.lost_answers.saturating_sub(1);
        loses
    }

    async fn read(&self, stream: &str, query: Option<&str>) -> HttpReply {
        let from = query_value(query, "from").unwrap_or("0").parse();
        let wait = query_value(query, "wait").unwrap_or("0").parse();
        let (Ok(from), Ok(wait)) = (from, wait) else {
            return error_reply(&ErrorWire::Rejected {
                reason: "`from` and `wait` have to be whole numbers".into(),
            });
        };
        let wait = Duration::from_millis(wait).min(WAIT_LIMIT);
        let deadline = Instant::now() + wait;
        let mut changes = self.inner.changes.subscribe();
        loop {
            if self.mode().down {
                return error_reply(&outage());
            }
            let page = self.store().read(self.inner.clock.now(), stream, from);
            match page {
                Err(first) => return error_reply(&ErrorWire::Expired { first }),
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

fn page_reply(page: StoredPage) -> HttpReply {
    let entries = page.entries.into_iter().map(|(offset, body)| LogEntryWire {
        offset,
        body: body.into(),
    });
    binary_reply(encode(&LogPageWire {
        first: page.first,
        end: page.end,
        entries: entries.collect(),
    }))
}

fn outage() -> ErrorWire {
    ErrorWire::Unavailable {
        reason: "the log is down".into(),
    }
}

fn unknown_route(path: &str) -> ErrorWire {
    ErrorWire::Rejected {
        reason: format_smolstr!("there is no route `{path}`"),
    }
}
