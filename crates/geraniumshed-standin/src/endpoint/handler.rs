//! The request handling of an endpoint.

use std::sync::atomic::{AtomicBool, AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::header::{CONNECTION, HeaderName, HeaderValue};
use http::{HeaderMap, Method, Request, StatusCode};
use hyper::body::Incoming;
use smol_str::{SmolStr, ToSmolStr};
use tokio::sync::Semaphore;
use tokio::time::sleep;

use super::fault::EndpointFault;
use super::response::{ResponseContent, ResponseOptions, build_response};
use super::server::EndpointConfig;
use super::service_time::ServiceTimes;
use crate::command::{parse_byte_count, parse_duration};
use crate::history::{ExecutionEnd, ExecutionRecord, HistoryRecorder, RefusalCause, RefusalRecord};
use crate::http::{
    ConnectionAborted, HttpHandler, HttpResponse, empty_response, query_value, read_body,
    text_response,
};

/// The request id, in requests and responses.
pub const HEADER_REQUEST_ID: HeaderName = HeaderName::from_static("geraniumshed-request-id");

/// The number of requests in flight at the endpoint, in responses.
pub const HEADER_IN_FLIGHT: HeaderName = HeaderName::from_static("geraniumshed-in-flight");

/// Set to `true` if the endpoint takes no new requests, in responses.
pub const HEADER_LEAVING: HeaderName = HeaderName::from_static("geraniumshed-leaving");

/// Set to `not-run` if the endpoint did not run the request, in responses.
pub const HEADER_OUTCOME: HeaderName = HeaderName::from_static("geraniumshed-outcome");

/// The idempotency key, in requests.
const HEADER_KEY: HeaderName = HeaderName::from_static("idempotency-key");

/// The state of one endpoint.
#[derive(Debug)]
pub(super) struct EndpointInner {
    pub(super) config: EndpointConfig,
    pub(super) recorder: HistoryRecorder,
    pub(super) slots: Semaphore,
    /// The number of requests that are queued or running.
    pub(super) in_flight: AtomicUsize,
    /// The number of requests that are running.
    pub(super) executing: AtomicUsize,
    pub(super) leaving: AtomicBool,
    /// The outcome of executions that are dropped before they complete.
    pub(super) end_on_drop: Arc<Mutex<ExecutionEnd>>,
    /// The slowdown that neighbours cause, in thousandths.
    pub(super) slowdown: AtomicU32,
    pub(super) fault: Mutex<EndpointFault>,
    pub(super) service_times: Mutex<ServiceTimes>,
    pub(super) last_activity: Mutex<Instant>,
}

impl EndpointInner {
    pub(super) fn fault(&self) -> MutexGuard<'_, EndpointFault> {
        self.fault.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn service_times(&self) -> MutexGuard<'_, ServiceTimes> {
        self.service_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn last_activity(&self) -> MutexGuard<'_, Instant> {
        self.last_activity
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn is_leaving(&self) -> bool {
        self.leaving.load(Ordering::SeqCst)
    }
}

/// Handles the requests to one endpoint.
#[derive(Debug, Clone)]
pub(super) struct EndpointHandler {
    pub(super) inner: Arc<EndpointInner>,
}

/// The parts of a request that the endpoint uses.
struct ServiceRequest {
    id: SmolStr,
    key: Option<SmolStr>,
    idempotent: bool,
    path: SmolStr,
    query: Option<String>,
}

impl ServiceRequest {
    fn read(request: &Request<Incoming>, config: &EndpointConfig) -> Self {
        let header = |name| header_text(request.headers(), name);
        Self {
            id: header(&HEADER_REQUEST_ID).unwrap_or_default(),
            key: header(&HEADER_KEY),
            idempotent: request.method().is_idempotent() || config.command.idempotent,
            path: request.uri().to_smolstr(),
            query: request.uri().query().map(ToOwned::to_owned),
        }
    }

    fn value(&self, name: &str) -> Option<&str> {
        query_value(self.query.as_deref(), name)
    }
}

impl HttpHandler for EndpointHandler {
    fn route(&self, request: &Request<Incoming>) -> &'static str {
        match request.uri().path() {
            "/health" => "health",
            _ => "request",
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionAborted> {
        let is_health = request.method() == Method::GET && request.uri().path() == "/health";
        let mut response = if is_health {
            self.health()
        } else {
            self.admit(request).await?
        };
        self.add_headers(response.headers_mut());
        Ok(response)
    }
}

impl EndpointHandler {
    fn health(&self) -> HttpResponse {
        if self.inner.is_leaving() {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        empty_response(StatusCode::OK)
    }

    fn add_headers(&self, headers: &mut HeaderMap) {
        let in_flight = self.inner.in_flight.load(Ordering::SeqCst);
        headers.insert(HEADER_IN_FLIGHT, HeaderValue::from(in_flight));
        if self.inner.is_leaving() {
            headers.insert(HEADER_LEAVING, HeaderValue::from_static("true"));
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
    }

    /// Runs the request, or refuses it if the endpoint is leaving or its queue is full.
    async fn admit(&self, request: Request<Incoming>) -> Result<HttpResponse, ConnectionAborted> {
        let service_request = ServiceRequest::read(&request, &self.inner.config);
        *self.inner.last_activity() = Instant::now();
        if self.inner.is_leaving() {
            return Ok(self.refuse(service_request, RefusalCause::Leaving));
        }
        let config = &self.inner.config;
        let queue = config.command.queue.unwrap_or(config.slots);
        let Some(in_flight_guard) =
            InFlightGuard::enter(&self.inner.in_flight, config.slots + queue)
        else {
            return Ok(self.refuse(service_request, RefusalCause::Busy));
        };
        let arrival = Instant::now();
        let body = read_body(request).await?;
        let slot = self
            .inner
            .slots
            .acquire()
            .await
            .map_err(|_| ConnectionAborted)?;
        let response = self.execute(service_request, &body).await?;
        self.inner.service_times().add_latency(arrival.elapsed());
        *self.inner.last_activity() = Instant::now();
        drop(slot);
        drop(in_flight_guard);
        Ok(response)
    }

    fn refuse(&self, request: ServiceRequest, cause: RefusalCause) -> HttpResponse {
        let text = match cause {
            RefusalCause::Leaving => "the endpoint is leaving\n",
            RefusalCause::Busy => "all slots are taken\n",
        };
        self.inner.recorder.add_refusal(RefusalRecord {
            request: request.id,
            endpoint: self.inner.config.name.clone(),
            vm: self.inner.config.vm.clone(),
            at: self.inner.recorder.clock().now().0,
            cause,
        });
        let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, text);
        let outcome = HeaderValue::from_static("not-run");
        response.headers_mut().insert(HEADER_OUTCOME, outcome);
        response
    }

    async fn execute(
        &self,
        request: ServiceRequest,
        body: &[u8],
    ) -> Result<HttpResponse, ConnectionAborted> {
        let inner = &self.inner;
        let record = ExecutionRecord {
            request: request.id.clone(),
            key: request.key.clone(),
            idempotent: request.idempotent,
            service: inner.config.service.clone(),
            endpoint: inner.config.name.clone(),
            vm: inner.config.vm.clone(),
            path: request.path.clone(),
            begin: inner.recorder.clock().now().0,
            end: None,
            outcome: None,
        };
        let run = inner
            .recorder
            .begin_execution(record, Arc::clone(&inner.end_on_drop));
        let executing = ExecutingGuard::enter(inner);
        sleep(self.service_time(&request)).await;
        let fault = *inner.fault();
        sleep(fault.response_delay()).await;
        drop(executing);
        run.end(match fault {
            EndpointFault::CutBody => ExecutionEnd::BrokenOff,
            _ => ExecutionEnd::Answered,
        });
        Ok(self.respond(&request, body, fault))
    }

    fn service_time(&self, request: &ServiceRequest) -> Duration {
        let mean = request
            .value("serve")
            .and_then(|value| parse_duration("serve", value).ok());
        let alone = self.inner.service_times().draw(mean);
        let slowdown = self.inner.slowdown.load(Ordering::Relaxed);
        let factor = self.inner.fault().factor();
        alone.mul_f64(f64::from(slowdown) / 1000.0) * factor
    }

    fn respond(&self, request: &ServiceRequest, body: &[u8], fault: EndpointFault) -> HttpResponse {
        let config = &self.inner.config;
        let padding = request
            .value("answer")
            .and_then(|value| parse_byte_count("answer", value).ok())
            .unwrap_or(config.command.answer);
        let mut content = ResponseContent {
            request: request.id.clone(),
            path: request.path.clone(),
            echo: String::from_utf8_lossy(body).into_owned(),
            endpoint: config.name.clone(),
            padding: "x".repeat(padding),
            end: true,
        };
        if fault == EndpointFault::WrongRequest {
            content.request = "0".repeat(content.request.len().max(1)).into();
            content.echo = "the answer to another request".into();
        }
        let options = ResponseOptions {
            parts: request
                .value("stream")
                .and_then(|value| value.parse().ok())
                .unwrap_or(0),
            status: match request.value("fail") {
                Some(_) => StatusCode::INTERNAL_SERVER_ERROR,
                None => StatusCode::OK,
            },
        };
        let mut response = build_response(&content, options, fault);
        if let Ok(id) = HeaderValue::from_str(&content.request) {
            response.headers_mut().insert(HEADER_REQUEST_ID, id);
        }
        response
    }
}

/// Counts a queued or running request until dropped.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl<'a> InFlightGuard<'a> {
    fn enter(in_flight: &'a AtomicUsize, limit: usize) -> Option<Self> {
        let before = in_flight.fetch_add(1, Ordering::SeqCst);
        let guard = Self(in_flight);
        (before < limit).then_some(guard)
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Counts a running request until dropped.
struct ExecutingGuard<'a>(&'a AtomicUsize);

impl<'a> ExecutingGuard<'a> {
    fn enter(inner: &'a EndpointInner) -> Self {
        inner.executing.fetch_add(1, Ordering::SeqCst);
        Self(&inner.executing)
    }
}

impl Drop for ExecutingGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn header_text(headers: &HeaderMap, name: &HeaderName) -> Option<SmolStr> {
    headers.get(name)?.to_str().ok().map(SmolStr::new)
}
