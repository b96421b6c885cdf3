//! Tracing spans, one for each hop of a request.

use http::HeaderMap;
use opentelemetry::propagation::TextMapPropagator as _;
use opentelemetry::propagation::{Extractor, Injector};
use opentelemetry::trace::{Span as _, SpanKind, Status, TraceContextExt, Tracer as _};
use opentelemetry::{Context, KeyValue, global};
use opentelemetry_sdk::propagation::TraceContextPropagator;

/// The name of the tracer.
const TRACER: &str = "geraniumshed";

/// A step in the processing of a request or record that gets a span of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HopName {
    /// A request arrives from the load balancer.
    Accept,
    /// A request is forwarded to another daemon.
    Forward,
    /// A request waits in a queue.
    Queue,
    /// A request is sent to an endpoint.
    Attempt,
    /// Entries are appended to the log.
    LogAppend,
    /// A worker is called.
    WorkerCall,
}

impl HopName {
    /// Returns the name of the span.
    pub fn name(self) -> &'static str {
        match self {
            Self::Accept => "accept",
            Self::Forward => "forward",
            Self::Queue => "queue",
            Self::Attempt => "attempt",
            Self::LogAppend => "log append",
            Self::WorkerCall => "worker call",
        }
    }

    fn kind(self) -> SpanKind {
        match self {
            Self::Accept => SpanKind::Server,
            Self::Queue => SpanKind::Internal,
            Self::Forward | Self::Attempt | Self::LogAppend | Self::WorkerCall => SpanKind::Client,
        }
    }
}

/// The span of one hop; it ends on drop.
///
/// Without an exporter, a span only propagates the caller's `traceparent`.
#[derive(Debug, Clone)]
pub struct HopSpan {
    context: Context,
}

impl HopSpan {
    /// Starts the first span of a request, as a child of the caller's `traceparent`.
    pub fn receive(hop: HopName, headers: &HeaderMap) -> Self {
        let parent = TraceContextPropagator::new()
            .extract_with_context(&Context::new(), &HeaderReader(headers));
        Self::start(hop, &parent)
    }

    /// Starts a span without a parent.
    pub fn root(hop: HopName) -> Self {
        Self::start(hop, &Context::new())
    }

    /// Starts a span as a child of this one.
    #[must_use]
    pub fn child(&self, hop: HopName) -> Self {
        Self::start(hop, &self.context)
    }

    /// Adds an attribute.
    pub fn set(&self, name: &'static str, value: impl Into<opentelemetry::Value>) {
        self.context
            .span()
            .set_attribute(KeyValue::new(name, value.into()));
    }

    /// Marks the span as failed.
    pub fn fail(&self, reason: impl Into<std::borrow::Cow<'static, str>>) {
        self.context.span().set_status(Status::error(reason));
    }

    /// Writes the span's context into the headers of the next hop.
    pub fn inject(&self, headers: &mut HeaderMap) {
        TraceContextPropagator::new().inject_context(&self.context, &mut HeaderWriter(headers));
    }

    fn start(hop: HopName, parent: &Context) -> Self {
        let tracer = global::tracer(TRACER);
        let mut span = tracer
            .span_builder(hop.name())
            .with_kind(hop.kind())
            .start_with_context(&tracer, parent);
        if !span.span_context().is_valid() && parent.has_active_span() {
            return Self {
                context: parent.clone(),
            };
        }
        span.set_attribute(KeyValue::new("hop", hop.name()));
        Self {
            context: parent.with_span(span),
        }
    }
}

struct HeaderReader<'a>(&'a HeaderMap);

impl Extractor for HeaderReader<'_> {
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).and_then(|value| value.to_str().ok())
    }

    fn keys(&self) -> Vec<&str> {
        self.0.keys().map(http::HeaderName::as_str).collect()
    }
}

struct HeaderWriter<'a>(&'a mut HeaderMap);

impl Injector for HeaderWriter<'_> {
    fn set(&mut self, key: &str, value: String) {
        let name = http::HeaderName::from_bytes(key.as_bytes());
        if let (Ok(name), Ok(value)) = (name, value.parse()) {
            self.0.insert(name, value);
        }
    }
}
