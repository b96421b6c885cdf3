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
    /// Who the daemon is.
    pub identity: DaemonIdentity,
    /// What is the same in all daemons.
    pub cluster: ClusterSettings,
    /// Where the platform is reached.
    pub platform: PlatformSettings,
    /// The request path.
    pub entry: EntrySettings,
    /// The log's followers and writers.
    pub log: LogSettings,
    /// The scheduler.
    pub scheduler: SchedulerSettings,
    /// The operators' interface.
    pub operators: OperatorSettings,
    /// The interface between daemons.
    pub peers: PeerListen,
    /// Logs, metrics and traces.
    pub telemetry: TelemetrySettings,
}

/// Who a daemon is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonIdentity {
    /// The id of the daemon, stable over its restarts.
    pub id: DaemonId,
    /// The region.
    pub region: RegionName,
    /// The availability zone.
    pub zone: ZoneName,
}

/// What has to be the same in all daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    /// The number of shards that workers and tasks are spread over.
    pub shards: u16,
    /// All regions, in the same order in all daemons.
    pub regions: Vec<RegionName>,
}

/// Where the platform is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address of the log.
    pub log: SocketAddr,
    /// The address of the list of VMs.
    pub vm_list: SocketAddr,
    /// The time to make a connection.
    pub connect_timeout: Duration,
    /// The time from then on to a whole answer.
    pub answer_timeout: Duration,
    /// The time after which an idle connection is not used again.
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
    /// The secret that operators share, unless certificates alone are asked for.
    pub secret: Option<OperatorSecret>,
    /// The certificates, if operators are served over TLS.
    pub tls: Option<OperatorTls>,
    /// The number of connections open at once.
    pub connection_limit: usize,
    /// The bytes that a request's headers may have.
    pub header_limit: usize,
    /// The bytes that a request's body may have.
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
    /// The file of the authorities whose certificates operators have to show, in PEM.
    pub client_authority: Option<PathBuf>,
}

/// The secret that operators share; it is never shown.
#[derive(Clone, PartialEq, Eq)]
pub struct OperatorSecret(SmolStr);

impl OperatorSecret {
    /// The length in bytes that a secret has at least.
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

/// The settings of the interface between daemons.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerListen {
    /// The address at which other daemons are served.
    pub listen: SocketAddr,
    /// The address under which other daemons reach this one.
    pub advertise: SocketAddr,
    /// The addresses of daemons that are known from the start; the list of VMs adds others.
    pub seeds: Vec<SocketAddr>,
}

/// The form of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TextFormat {
    /// Lines of text.
    Text,
    /// One JSON object a line.
    Json,
}

/// The settings of logs, metrics and traces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TelemetrySettings {
    /// The level of log lines, which may differ by module, as in `info, geraniumshed_core=debug`.
    pub log_level: SmolStr,
    /// The form of log lines.
    pub log_format: TextFormat,
    /// The address of the `StatsD` server.
    pub statsd: Option<SocketAddr>,
    /// The time between two reports of gauges to the `StatsD` server.
    pub metric_interval: Duration,
    /// The URL to which spans are exported by OTLP over HTTP.
    pub traces: Option<SmolStr>,
    /// The share of requests whose spans are exported, in percent.
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
