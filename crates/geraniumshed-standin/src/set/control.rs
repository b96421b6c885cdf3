//! The control interface of the stand-ins.
//!
//! | call | answer |
//! |---|---|
//! | `GET /status` | where the stand-ins listen |
//! | `GET /executions` | the runs of requests |
//! | `GET /placements` | the attempts of tasks |
//! | `GET /record` | everything that the stand-ins wrote down |
//! | `GET /traffic` | the calls and bytes of the platform's interfaces |
//! | `GET /report?settled=true` | the promises judged on it |
//! | `POST /faults` with a [`FaultCommand`] | nothing, once the fault is switched |

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use super::cluster::StandinSet;
use super::fault::FaultCommand;
use crate::http::{
    BrokenOff, HttpHandler, HttpReply, HttpServer, empty_reply, json_reply, query_value, read_body,
    text_reply,
};
use crate::truth::{JudgeLimits, judge};

/// The connections that the control interface takes at once.
const CONNECTION_LIMIT: usize = 64;

/// The running control interface of a set.
#[derive(Debug)]
pub struct ControlServer {
    server: HttpServer,
}

impl ControlServer {
    /// Binds the interface of a set to the port that its settings name.
    ///
    /// # Errors
    ///
    /// Returns the error of the socket if the port can't be taken.
    pub fn bind(set: Arc<StandinSet>) -> io::Result<Self> {
        let port = set.settings().control_port;
        let server = HttpServer::bind(port, CONNECTION_LIMIT, ControlHandler { set })?;
        Ok(Self { server })
    }

    /// Returns the address of the interface.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }
}

#[derive(Debug, Clone)]
struct ControlHandler {
    set: Arc<StandinSet>,
}

impl HttpHandler for ControlHandler {
    fn route(&self, _: &Request<Incoming>) -> &'static str {
        "control"
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpReply, BrokenOff> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/status") => Ok(json_reply(StatusCode::OK, &self.set.status())),
            (&Method::GET, "/traffic") => Ok(json_reply(StatusCode::OK, &self.set.traffic())),
            (&Method::GET, "/report") => Ok(self.report(request.uri().query())),
            (&Method::GET, "/executions" | "/placements" | "/record") => Ok(self.record(&path)),
            (&Method::POST, "/faults") => Ok(self.switch(&read_body(request).await?)),
            _ => Ok(text_reply(
                StatusCode::NOT_FOUND,
                "use GET /status, /executions, /placements, /record, /report, /traffic or POST /faults\n",
            )),
        }
    }
}

impl ControlHandler {
    fn record(&self, path: &str) -> HttpReply {
        let record = self.set.ledger().snapshot();
        match path {
            "/executions" => json_reply(StatusCode::OK, &record.executions),
            "/placements" => json_reply(StatusCode::OK, &record.placements),
            _ => json_reply(StatusCode::OK, &record),
        }
    }

    fn report(&self, query: Option<&str>) -> HttpReply {
        let limits = JudgeLimits {
            settled: query_value(query, "settled") == Some("true"),
            ..JudgeLimits::default()
        };
        let report = judge(&self.set.ledger().snapshot(), &[], limits);
        json_reply(StatusCode::OK, &report)
    }

    fn switch(&self, body: &[u8]) -> HttpReply {
        let command: FaultCommand = match serde_json::from_slice(body) {
            Ok(command) => command,
            Err(error) => {
                let text = format!("the fault can't be read: {error}\n");
                return text_reply(StatusCode::BAD_REQUEST, text);
            }
        };
        match self.set.switch(&command) {
            Ok(()) => empty_reply(StatusCode::NO_CONTENT),
            Err(error) => text_reply(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }
}
