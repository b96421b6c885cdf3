//! Snapshots of the counters of a running cluster.

use std::error::Error;
use std::fs::OpenOptions;
use std::io::Write as _;
use std::time::{SystemTime, UNIX_EPOCH};

use gumdrop::Options;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use smol_str::SmolStr;
use tokio::runtime::Builder;

use super::process::read_usage;
use crate::client::{ClientSettings, OperatorClient};

/// The options of `bench capacity snapshot`.
#[derive(Debug, Options)]
pub struct SnapshotArguments {
    #[options(help = "print this help")]
    help: bool,
    #[options(
        no_short,
        help = "address of the stand-ins' control API",
        meta = "ADDRESS"
    )]
    control: String,
    #[options(
        no_short,
        help = "operator URLs of all daemons, comma-separated",
        meta = "URLS"
    )]
    urls: String,
    #[options(
        no_short,
        help = "process ids of all daemons, comma-separated",
        meta = "IDS"
    )]
    processes: String,
    #[options(no_short, help = "file with the operators' secret", meta = "FILE")]
    secret_file: Option<String>,
    #[options(
        no_short,
        help = "name of the run, the same for all of its snapshots",
        meta = "NAME"
    )]
    run: SmolStr,
    #[options(
        no_short,
        help = "phase that begins now: start, idle or config; or end",
        meta = "NAME"
    )]
    phase: SmolStr,
    #[options(no_short, help = "number of workers", meta = "N")]
    workers: u32,
    #[options(no_short, help = "number of tasks", meta = "N")]
    tasks: u32,
    #[options(no_short, help = "file to append to", meta = "FILE")]
    file: String,
}

/// The counters of a running cluster; all but `resident` are cumulative.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacitySnapshot {
    /// The run that the snapshot belongs to.
    pub run: SmolStr,
    /// The phase that begins with the snapshot.
    pub phase: SmolStr,
    /// The number of workers.
    pub workers: u32,
    /// The number of daemons.
    pub daemons: u32,
    /// The number of tasks.
    pub tasks: u32,
    /// The time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The processor time of all daemons together, in milliseconds.
    pub processor_ms: u64,
    /// The resident memory of the daemon that uses most, in bytes.
    pub resident: u64,
    /// The bytes to and from the log, headers included.
    pub log_bytes: u64,
    /// The bytes to and from the list of VMs.
    pub list_bytes: u64,
    /// The bytes to and from the workers.
    pub worker_bytes: u64,
    /// The bytes between the daemons.
    pub peer_bytes: u64,
    /// The number of entries appended to the log.
    pub appends: u64,
}

/// Takes a snapshot and appends it to a file.
///
/// # Errors
///
/// Returns an error if a counter can't be read or the file can't be written.
pub fn execute(arguments: &SnapshotArguments) -> Result<(), Box<dyn Error>> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let snapshot = runtime.block_on(take_snapshot(arguments))?;
    let mut file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(&arguments.file)?;
    writeln!(file, "{}", serde_json::to_string(&snapshot)?)?;
    Ok(())
}

async fn take_snapshot(arguments: &SnapshotArguments) -> Result<CapacitySnapshot, Box<dyn Error>> {
    // `reqwest` needs a crypto provider even for plain HTTP. Installing a second one fails
    // harmlessly.
    drop(rustls::crypto::ring::default_provider().install_default());
    let traffic = read_json(&format!("http://{}/traffic", arguments.control)).await?;
    let status = read_json(&format!("http://{}/status", arguments.control)).await?;
    let mut processor_ms = 0;
    let mut resident = 0;
    let mut daemons = 0;
    for process in arguments.processes.split(',') {
        let usage = read_usage(process.trim().parse()?)?;
        processor_ms += u64::try_from(usage.processor_time.as_millis())?;
        resident = resident.max(usage.resident);
        daemons += 1;
    }
    let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
    Ok(CapacitySnapshot {
        run: arguments.run.clone(),
        phase: arguments.phase.clone(),
        workers: arguments.workers,
        daemons,
        tasks: arguments.tasks,
        at_ms: u64::try_from(now.as_millis())?,
        processor_ms,
        resident,
        log_bytes: interface_bytes(&traffic, "log"),
        list_bytes: interface_bytes(&traffic, "vm_list"),
        worker_bytes: interface_bytes(&traffic, "workers"),
        peer_bytes: read_peer_bytes(arguments).await?,
        appends: status["appends"].as_u64().unwrap_or_default(),
    })
}

async fn read_json(url: &str) -> Result<Value, reqwest::Error> {
    reqwest::get(url).await?.error_for_status()?.json().await
}

/// Returns the bytes of an interface in both directions.
fn interface_bytes(traffic: &Value, interface: &str) -> u64 {
    let report = &traffic[interface];
    let count = |name: &str| report[name].as_u64().unwrap_or_default();
    count("bytes_in") + count("bytes_out")
}

/// Returns the bytes between daemons. Each daemon counts only its own calls, so that no byte counts
/// twice.
async fn read_peer_bytes(arguments: &SnapshotArguments) -> Result<u64, Box<dyn Error>> {
    let mut bytes = 0;
    for url in arguments.urls.split(',') {
        let client = OperatorClient::open(&ClientSettings {
            url: Some(url.trim().to_owned()),
            secret_file: arguments.secret_file.clone(),
            ..ClientSettings::default()
        })?;
        let metrics = client.metrics().await?;
        let served = metrics.lines().filter_map(|line| line.split_once(' '));
        let mut served = served.filter(|(name, _)| *name == "peers.bytes");
        if let Some((_, value)) = served.next() {
            bytes += value.trim().parse::<u64>()?;
        }
    }
    Ok(bytes)
}
