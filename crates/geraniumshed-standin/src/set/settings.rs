//! The settings of the stand-ins.

use std::fmt::Display;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use geraniumshed_model::prelude::{
    AcceleratorCount, MemorySize, ProcessorShare, RegionName, ResourceSize, TimeSpan, VmId,
    ZoneName,
};
use serde::de::Error as _;
use serde::{Deserialize, Deserializer};

/// The settings of all stand-ins of one cluster.
///
/// ```yaml
/// seed: 7
/// log: { port: 7601, keep_entries: 100000, keep_for: 1h }
/// vm_list_port: 7602
/// vm_list_lag: 1s
/// control_port: 7603
/// zones: [{ name: centro, region: montevideo }, { name: cordon, region: montevideo }]
/// workers: { count: 4, per_rack: 8, processors: "32", memory: 125GB, accelerators: 0, usage_lag: 2s }
/// entries: [{ vm: entry-1, zone: centro, address: "127.0.0.1:7201" }]
/// interference: true
/// proxied: false
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StandinSettings {
    /// The seed of all random draws.
    pub seed: u64,
    /// The log.
    pub log: LogSettings,
    /// The port of the VM list; 0 takes any free one.
    pub vm_list_port: u16,
    /// The delay until changes are visible in the VM list.
    #[serde(deserialize_with = "from_text")]
    pub vm_list_lag: TimeSpan,
    /// The port of the control interface; 0 takes any free one.
    pub control_port: u16,
    /// The availability zones, to which workers are assigned round-robin.
    pub zones: Vec<ZoneSettings>,
    /// The workers.
    pub workers: WorkerSettings,
    /// The entry VMs that the VM list shows.
    pub entries: Vec<EntrySettings>,
    /// Whether colocated tasks slow each other down.
    pub interference: bool,
    /// Whether the log, the VM list, workers and endpoints are behind fault proxies.
    pub proxied: bool,
}

impl Default for StandinSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            log: LogSettings::default(),
            vm_list_port: 0,
            vm_list_lag: TimeSpan(Duration::from_secs(1)),
            control_port: 0,
            zones: ["zone-a", "zone-b", "zone-c"]
                .map(ZoneSettings::of_default_region)
                .into(),
            workers: WorkerSettings::default(),
            entries: Vec::new(),
            interference: true,
            proxied: false,
        }
    }
}

/// The settings of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// The port; 0 takes any free one.
    pub port: u16,
    /// The maximum number of entries per stream.
    pub keep_entries: Option<usize>,
    /// The maximum age of an entry.
    #[serde(deserialize_with = "from_optional_text")]
    pub keep_for: Option<TimeSpan>,
}

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneSettings {
    /// The name.
    #[serde(deserialize_with = "from_text")]
    pub name: ZoneName,
    /// The region.
    #[serde(deserialize_with = "from_text")]
    pub region: RegionName,
}

impl ZoneSettings {
    fn of_default_region(name: &str) -> Self {
        Self {
            name: name.parse().expect("the default names are valid"),
            region: "region-1".parse().expect("the default names are valid"),
        }
    }
}

/// The settings of the workers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct WorkerSettings {
    /// The number of workers.
    pub count: usize,
    /// The number of workers in each rack.
    pub per_rack: usize,
    /// The processors of each worker.
    #[serde(deserialize_with = "from_text")]
    pub processors: ProcessorShare,
    /// The memory of each worker.
    #[serde(deserialize_with = "from_text")]
    pub memory: MemorySize,
    /// The accelerators of each worker.
    pub accelerators: u32,
    /// The delay until a usage sample is reported.
    #[serde(deserialize_with = "from_text")]
    pub usage_lag: TimeSpan,
}

impl Default for WorkerSettings {
    fn default() -> Self {
        Self {
            count: 6,
            per_rack: 8,
            processors: ProcessorShare(32_000),
            memory: MemorySize(125_000_000_000),
            accelerators: 0,
            usage_lag: TimeSpan(Duration::from_secs(2)),
        }
    }
}

impl WorkerSettings {
    /// Returns the size of each worker.
    pub fn size(&self) -> ResourceSize {
        ResourceSize {
            processors: self.processors,
            memory: self.memory,
            accelerators: AcceleratorCount(self.accelerators),
        }
    }
}

/// An entry VM that the VM list shows.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The VM.
    #[serde(deserialize_with = "from_text")]
    pub vm: VmId,
    /// The availability zone, which must be listed in `zones`.
    #[serde(deserialize_with = "from_text")]
    pub zone: ZoneName,
    /// The address of the daemon's peer interface.
    pub address: SocketAddr,
}

/// Deserializes a value from its text form.
fn from_text<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: FromStr,
    T::Err: Display,
{
    let text = String::deserialize(deserializer)?;
    text.parse().map_err(D::Error::custom)
}

/// Deserializes an optional value from its text form.
fn from_optional_text<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: FromStr,
    T::Err: Display,
{
    let text = Option::<String>::deserialize(deserializer)?;
    text.map(|text| text.parse().map_err(D::Error::custom))
        .transpose()
}
