//! The daemons, as processes with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::record::Recorder;
use crate::worker::{HEARTBEAT, MAX_HOLD_MS};

/// The ports on each daemon's address, as in the example of the deploy page.
const FRONT_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const PEER_PORTS: (u16, u16) = (7720, 7735);
/// The memory of a machine, in megabytes.
pub const MEMORY_MB: u64 = 260;
/// The time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// A daemon, whose process is started again when it has ended.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    /// How often the process has ended by itself; memory over the limit counts.
    pub ends: usize,
    /// The largest memory that was seen, in megabytes.
    pub peak_mb: u64,
    program: PathBuf,
    directory: PathBuf,
    child: Option<Child>,
    restart_at: Option<std::time::Instant>,
}

impl Daemon {
    /// Writes the settings of a daemon and starts it. `status_s` is the site's bound.
    pub fn start(
        program: &Path,
        directory: &Path,
        number: u8,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let pid = std::process::id();
        let octet = |value: u32| u8::try_from(value).unwrap_or(1);
        let ip = Ipv4Addr::new(
            127,
            octet(64 + pid % 128),
            octet(pid / 128 % 256),
            number + 1,
        );
        // The ports have to be free.
        for port in [FRONT_PORT, READY_PORT, PEER_PORTS.0] {
            TcpListener::bind((ip, port))?;
        }
        let at = |port: u16| SocketAddr::from((ip, port));
        let name = format!("edge-{number}");
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3];
        let heartbeat_ms = HEARTBEAT.as_millis() as u64;
        let settings = json!({
            "node": name, "role": "daemon", "machineClass": "edge", "serves": ["edge"], "ip": ip,
            "zone": zone,
            "listen": {"front": at(FRONT_PORT).to_string(), "readyAddress": at(READY_PORT).to_string()},
            "portRange": [PEER_PORTS.0, PEER_PORTS.1], "bootstrap": true,
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": MEMORY_MB, "maxFds": 4100},
            "discovery": "platform", "heartbeatMs": heartbeat_ms,
            "bounds": {"contactMs": 3000, "ackMs": 4000, "drainMs": 2000, "graceS": 6,
                "configApplyMs": 2000, "maxHoldMs": MAX_HOLD_MS, "stopTimeoutMs": 200,
                "gangTimeoutMs": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250,
                "finish_s": 14, "status_s": 120, "farFactor": 1.5, "checkpointIntervalS": 0.5,
                "restoreMs": 600, "leaseMs": 3000},
            "orders": "call",
            "platform": {"address": store.to_string(), "form": "log", "writesPerS": 600,
                "readsPerS": 2000, "parts": 12, "appendMs": 2.0, "recordBytes": 262_144,
                "requestBytes": 2_097_152, "keep_s": 300, "partMb": 200, "minTtlMs": 1000}
        });
        fs::write(directory.join(format!("{name}.json")), settings.to_string())?;
        let mut daemon = Self {
            name,
            front: at(FRONT_PORT),
            ready: at(READY_PORT),
            ends: 0,
            peak_mb: 0,
            program: program.to_owned(),
            directory: directory.to_owned(),
            child: None,
            restart_at: None,
        };
        daemon.spawn()?;
        Ok(daemon)
    }

    fn spawn(&mut self) -> io::Result<()> {
        let log = self.directory.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(&self.program)
            .args(["serve", "--metrics-port", "9464"])
            .env_clear()
            .env(
                "GERANIUMSHED_NODE_FILE",
                self.directory.join(format!("{}.json", self.name)),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Returns the id of the process, as text.
    pub fn pid(&self) -> Option<String> {
        self.child.as_ref().map(|child| child.id().to_string())
    }

    /// Returns the memory that the process holds without its program and other files, in megabytes.
    pub fn memory_mb(&self) -> Option<u64> {
        let pid = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("RssAnon:"))?;
        let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kilobytes * 1024 / 1_000_000)
    }

    /// Looks after the process: kills it if it holds more memory than its machine has, and starts it again
    /// when it has ended.
    pub fn watch(&mut self, recorder: &Recorder) {
        let memory = self.memory_mb().unwrap_or(0);
        self.peak_mb = self.peak_mb.max(memory);
        if memory > MEMORY_MB
            && let Some(child) = &mut self.child
        {
            recorder.tell(&format!(
                "{}: the process holds {memory} MB of {MEMORY_MB} MB and is killed",
                self.name
            ));
            drop(child.kill());
        }
        if let Some(child) = &mut self.child
            && let Ok(Some(status)) = child.try_wait()
        {
            self.ends += 1;
            recorder.tell(&format!("{}: the process has ended: {status}", self.name));
            self.child = None;
            self.restart_at = Some(std::time::Instant::now() + RESTART_DELAY);
        }
        if self.child.is_none()
            && self
                .restart_at
                .is_some_and(|at| at <= std::time::Instant::now())
        {
            self.restart_at = None;
            if let Err(error) = self.spawn() {
                recorder.tell(&format!("{}: can't be started: {error}", self.name));
            }
        }
    }

    /// Ends the process.
    pub fn finish(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
        thread::sleep(Duration::from_millis(10));
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.finish();
    }
}
