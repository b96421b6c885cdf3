//! The export of spans by OTLP over HTTP.

use std::time::Duration;

use geraniumshed_model::prelude::{ErrorKind, ProblemError};
use opentelemetry::{KeyValue, global};
use opentelemetry_otlp::{Protocol, SpanExporter, WithExportConfig};
use opentelemetry_sdk::Resource;
use opentelemetry_sdk::trace::{Sampler, SdkTracerProvider};
use smol_str::format_smolstr;

use crate::settings::{DaemonIdentity, TelemetrySettings};

/// The timeout of an export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(3);

/// The running export of spans.
#[derive(Debug)]
pub struct TraceHandle {
    provider: SdkTracerProvider,
}

impl TraceHandle {
    /// Starts the export of all spans of this process if the settings have a URL for them.
    ///
    /// # Errors
    ///
    /// Returns `Malformed` if the URL can't be used.
    pub fn open(
        settings: &TelemetrySettings,
        identity: &DaemonIdentity,
    ) -> Result<Option<Self>, ProblemError> {
        let Some(url) = &settings.traces else {
            return Ok(None);
        };
        // The HTTP client needs a default TLS provider even for plain HTTP; installing it again
        // fails without an effect.
        drop(rustls::crypto::ring::default_provider().install_default());
        let exporter = SpanExporter::builder()
            .with_http()
            .with_protocol(Protocol::HttpJson)
            .with_endpoint(url.as_str())
            .with_timeout(EXPORT_TIMEOUT)
            .build()
            .map_err(|error| {
                ProblemError::new(
                    ErrorKind::Malformed,
                    format_smolstr!("spans can't be exported to `{url}`: {error}"),
                    "use a URL such as http://10.0.0.5:4318/v1/traces",
                )
            })?;
        let resource = Resource::builder()
            .with_service_name("geraniumshed")
            .with_attributes([
                KeyValue::new("service.instance.id", identity.id.to_string()),
                KeyValue::new("cloud.region", identity.region.to_string()),
                KeyValue::new("cloud.availability_zone", identity.zone.to_string()),
            ])
            .build();
        let share = f64::from(settings.trace_percent) / 100.0;
        let sampler = Sampler::ParentBased(Box::new(Sampler::TraceIdRatioBased(share)));
        let provider = SdkTracerProvider::builder()
            .with_batch_exporter(exporter)
            .with_resource(resource)
            .with_sampler(sampler)
            .build();
        global::set_tracer_provider(provider.clone());
        Ok(Some(Self { provider }))
    }

    /// Exports the remaining spans and stops; blocks for up to the timeout of an export.
    pub fn close(self) {
        if let Err(error) = self.provider.shutdown() {
            log::warn!("exporting the last spans failed: {error}");
        }
    }
}
