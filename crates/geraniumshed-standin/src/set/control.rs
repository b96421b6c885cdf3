//! The HTTP control interface of the stand-ins.
//!
//! | call | response |
//! |---|---|
//! | `GET /status` | the addresses of the stand-ins |
//! | `GET /executions` | the executions of requests |
//! | `GET /placements` | the attempts of tasks |
//! | `GET /record` | the full history |
//! | `GET /traffic` | the calls and bytes of the platform's interfaces |
//! | `GET /report?settled=true` | the check of the promises, with `settled` after the workload |
//! | `POST /faults` with a [`FaultCommand`] | empty, once the fault is in effect |

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;

use super::cluster::StandinSet;
use super::fault::FaultCommand;
use crate::history::{CheckLimits, check_promises};
use crate::http::{
    ConnectionAborted, HttpHandler, HttpResponse, HttpServer, empty_response, json_response,
    query_value, read_body, text_response,
};

/// The maximum number of concurrent connections to the control interface.
const CONNECTION_LIMIT: usize = 64;

/// The running control interface of a cluster's stand-ins.
#[derive(Debug)]
pub struct ControlServer {
    server: HttpServer,
}

impl ControlServer {
    /// Binds the control interface to the port in the settings.
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

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionAborted> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/status") => Ok(json_response(StatusCode::OK, &self.set.status())),
            (&Method::GET, "/traffic") => Ok(json_response(StatusCode::OK, &self.set.traffic())),
            (&Method::GET, "/report") => Ok(self.report(request.uri().query())),
            (&Method::GET, "/executions" | "/placements" | "/record") => Ok(self.record(&path)),
            (&Method::POST, "/faults") => Ok(self.switch(&read_body(request).await?)),
            _ => Ok(text_response(
                StatusCode::NOT_FOUND,
                "use GET /status, /executions, /placements, /record, /report, /traffic or POST /faults\n",
            )),
        }
    }
}

impl ControlHandler {
    fn record(&self, path: &str) -> HttpResponse {
        let history = self.set.recorder().snapshot();
        match path {
            "/executions" => json_response(StatusCode::OK, &history.executions),
            "/placements" => json_response(StatusCode::OK, &history.placements),
            _ => json_response(StatusCode::OK, &history),
        }
    }

    fn report(&self, query: Option<&str>) -> HttpResponse {
        let limits = CheckLimits {
            settled: query_value(query, "settled") == Some("true"),
            ..CheckLimits::default()
        };
        let report = check_promises(&self.set.recorder().snapshot(), &[], limits);
        json_response(StatusCode::OK, &report)
    }

    fn switch(&self, body: &[u8]) -> HttpResponse {
        let command: FaultCommand = match serde_json::from_slice(body) {
            Ok(command) => command,
            Err(error) => {
                let text = format!("the fault can't be read: {error}\n");
                return text_response(StatusCode::BAD_REQUEST, text);
            }
        };
        match self.set.switch(&command) {
            Ok(()) => empty_response(StatusCode::NO_CONTENT),
            Err(error) => text_response(StatusCode::BAD_REQUEST, format!("{error}\n")),
        }
    }
}
