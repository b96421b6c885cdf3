//! The settings of one daemon.

use std::fmt::{self, Debug, Formatter};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use geraniumshed_core::schedule::SchedulerSettings;
use geraniumshed_model::prelude::{DaemonId, RegionName, ZoneName};
use geraniumshed_platform::HttpTimeouts;
use smol_str::SmolStr;

use crate::log::LogSettings;
use crate::request::EntrySettings;

/// The settings of one daemon.
#[derive(Debug, Clone)]
pub struct DaemonSettings {
    /// The identity of the daemon.
    pub identity: DaemonIdentity,
    /// The settings that are the same in all daemons.
    pub cluster: ClusterSettings,
    /// The addresses and timeouts of the platform.
    pub platform: PlatformSettings,
    /// The request path.
    pub entry: EntrySettings,
    /// The log's followers and writers.
    pub log: LogSettings,
    /// The scheduler.
    pub scheduler: SchedulerSettings,
    /// The operators' interface.
    pub operators: OperatorSettings,
    /// The addresses of the interface between daemons.
    pub peers: PeerAddresses,
    /// Logs, metrics and traces.
    pub telemetry: TelemetrySettings,
}

/// The identity of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonIdentity {
    /// The id of the daemon, which stays the same over restarts.
    pub id: DaemonId,
    /// The region.
    pub region: RegionName,
    /// The availability zone.
    pub zone: ZoneName,
}

/// The settings that have to be the same in all daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    /// The number of shards to which workers and tasks are assigned.
    pub shards: u16,
    /// All regions, in the same order in all daemons.
    pub regions: Vec<RegionName>,
}

/// The addresses and timeouts of the platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address of the log.
    pub log: SocketAddr,
    /// The address of the list of VMs.
    pub vm_list: SocketAddr,
    /// The timeout of connecting.
    pub connect_timeout: Duration,
    /// The time from the connection to the complete answer.
    pub answer_timeout: Duration,
    /// The time after which an idle connection is not reused.
    pub idle_timeout: Duration,
}

impl PlatformSettings {
    /// Returns the time limits of calls.
    pub fn timeouts(&self) -> HttpTimeouts {
        HttpTimeouts {
            connect: self.connect_timeout,
            answer: self.answer_timeout,
            idle: self.idle_timeout,
        }
    }
}

/// The settings of the operators' interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorSettings {
    /// The address at which operators are served.
    pub listen: SocketAddr,
    /// The secret that operators share, unless only client certificates are required.
    pub secret: Option<OperatorSecret>,
    /// The certificates, if operators are served over TLS.
    pub tls: Option<OperatorTls>,
    /// The maximum number of open connections.
    pub connection_limit: usize,
    /// The maximum size in bytes of a request's headers.
    pub header_limit: usize,
    /// The maximum size in bytes of a request's body.
    pub body_limit: u64,
    /// The time within which a request's headers have to arrive.
    pub header_timeout: Duration,
    /// The time within which a request's body has to arrive.
    pub body_timeout: Duration,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            secret: None,
            tls: None,
            connection_limit: 256,
            header_limit: 16 * 1024,
            body_limit: 1_000_000,
            header_timeout: Duration::from_secs(5),
            body_timeout: Duration::from_secs(10),
        }
    }
}

/// The certificates of the operators' interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorTls {
    /// The file of the daemon's certificate chain, in PEM.
    pub certificate: PathBuf,
    /// The file of the daemon's key, in PEM.
    pub key: PathBuf,
    /// The file of the authorities that have to sign operators' certificates, in PEM.
    pub client_authority: Option<PathBuf>,
}

/// The secret that operators share; its debug form hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorSecret(SmolStr);

impl OperatorSecret {
    /// The minimum length in bytes of a secret.
    pub const LENGTH_MIN: usize = 16;

    /// Creates a secret, unless the text is too short.
    pub fn new(text: &str) -> Option<Self> {
        let text = text.trim();
        (text.len() >= Self::LENGTH_MIN).then(|| Self(SmolStr::new(text)))
    }

    /// Returns the text for comparison with what an operator sends.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl Debug for OperatorSecret {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str("OperatorSecret(hidden)")
    }
}

/// The addresses of the interface between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddresses {
    /// The address at which other daemons are served.
    pub listen: SocketAddr,
    /// The address under which other daemons reach this one.
    pub advertise: SocketAddr,
    /// The addresses of daemons that are known at the start; the list of VMs adds others.
    pub seeds: Vec<SocketAddr>,
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextFormat {
    /// Lines of text.
    Text,
    /// One JSON object per line.
    Json,
}

/// The settings of logs, metrics and traces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TelemetrySettings {
    /// The level of log lines, which may differ by module, as in `info, geraniumshed_core=debug`.
    pub log_level: SmolStr,
    /// The format of log lines.
    pub log_format: TextFormat,
    /// The address of the `StatsD` server.
    pub statsd: Option<SocketAddr>,
    /// The interval between two reports to the `StatsD` server.
    pub metric_interval: Duration,
    /// The URL to which spans are exported by OTLP over HTTP.
    pub traces: Option<SmolStr>,
    /// The percentage of requests whose spans are exported.
    pub trace_percent: u32,
}

impl Default for TelemetrySettings {
    fn default() -> Self {
        Self {
            log_level: SmolStr::new_static("info, tarpc=warn"),
            log_format: TextFormat::Text,
            statsd: None,
            metric_interval: Duration::from_secs(10),
            traces: None,
            trace_percent: 100,
        }
    }
}
