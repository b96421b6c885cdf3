//! Logs and counts the steps by which a configuration reaches a node.

use std::fmt::{self, Display, Formatter};
use std::time::Duration;

use geraniumshed_core::site::ConfigVersion;
use geraniumshed_model::prelude::whole_millis;
use smol_str::SmolStr;
use tokio::time::Instant;

use super::metrics::{ConfigLabels, NodeMetrics};
use crate::peer::PeerFailure;
use crate::store::StoreError;

/// Where a node reads a configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum ConfigSource {
    /// The store.
    Store,
    /// The node with this name.
    Peer(SmolStr),
}

impl ConfigSource {
    /// Returns the kind of source, for metrics.
    fn kind(&self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer(_) => "peer",
        }
    }
}

impl Display for ConfigSource {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store => f.write_str("store"),
            Self::Peer(name) => Display::fmt(name, f),
        }
    }
}

/// The reason why a configuration could not be read.
pub(crate) trait ReadFailure {
    /// Returns the reason, for logs and metrics.
    fn reason(&self) -> &'static str;
}

impl ReadFailure for StoreError {
    fn reason(&self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Unanswered => "unanswered",
            _ => "invalid",
        }
    }
}

impl ReadFailure for PeerFailure {
    fn reason(&self) -> &'static str {
        match self {
            Self::Refused | Self::NotSent => "refused",
            Self::Unanswered => "unanswered",
        }
    }
}

/// A read of a configuration that is in progress.
#[derive(Debug)]
pub(crate) struct ConfigRead<'a> {
    source: &'a ConfigSource,
    started: Instant,
}

impl<'a> ConfigRead<'a> {
    /// Starts to measure a read.
    pub(crate) fn start(source: &'a ConfigSource) -> Self {
        let started = Instant::now();
        Self { source, started }
    }

    /// Records that a configuration of the given size in bytes was read.
    pub(crate) fn finish(self, metrics: &NodeMetrics, size: usize) {
        let taken = self.started.elapsed();
        log::info!(
            source:% = self.source,
            size,
            taken_ms = whole_millis(taken);
            "configuration was read"
        );
        metrics.record_config_read(self.labels("read"), taken);
    }

    /// Records that nothing was read.
    pub(crate) fn fail(self, metrics: &NodeMetrics, failure: &impl ReadFailure) {
        let taken = self.started.elapsed();
        let reason = failure.reason();
        log::warn!(
            source:% = self.source,
            reason,
            taken_ms = whole_millis(taken);
            "configuration could not be read"
        );
        metrics.record_config_read(self.labels(reason), taken);
    }

    fn labels(&self, outcome: &'static str) -> ConfigLabels {
        ConfigLabels {
            source: self.source.kind(),
            outcome,
        }
    }
}

/// Records that a configuration was decoded.
pub(crate) fn log_decoded(
    source: &ConfigSource,
    version: ConfigVersion,
    taken: Duration,
    metrics: &NodeMetrics,
) {
    log::info!(
        source:% = source,
        version = version.0,
        taken_ms = whole_millis(taken);
        "configuration was decoded"
    );
    metrics.config_decode_seconds.observe(taken.as_secs_f64());
}
