//! The project's daemons, as processes with the command of the deploy file.

use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use crate::worker::LONGEST_LEASE_MS;

const FRONT_PORT: u16 = 8161;
const READY_PORT: u16 = 8167;
const METRICS_PORT: u16 = 9464;
const PEER_PORTS: (u16, u16) = (7720, 7735);

/// A daemon of the system.
#[derive(Debug)]
pub struct Daemon {
    pub name: String,
    ip: Ipv4Addr,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// Writes the settings of a daemon, whose process isn't started yet.
    pub fn new(
        name: &str,
        ip: Ipv4Addr,
        program: &Path,
        store: SocketAddr,
        folder: &Path,
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{name}.json"));
        fs::write(&settings, settings_text(name, ip, store))?;
        Ok(Self {
            name: name.to_owned(),
            ip,
            program: program.to_owned(),
            settings,
            log: folder.join(format!("{name}.log")),
            child: None,
        })
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), FRONT_PORT)
    }

    /// Returns what the processes have logged.
    pub fn log_text(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log: File = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)?;
        let metrics = METRICS_PORT.to_string();
        let child = Command::new(&self.program)
            .args(["serve", "--metrics-port", &metrics])
            .env_clear()
            .env("GERANIUMSHED_NODE_FILE", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns loopback addresses on which the ports of daemons are free.
pub fn free_addresses(count: u8) -> io::Result<Vec<Ipv4Addr>> {
    let seed = std::process::id();
    for attempt in 0..200 {
        let place = seed.wrapping_add(attempt * 7919);
        let net = (100 + (place % 100)) as u8;
        let subnet = (place / 100 % 250) as u8;
        let ips: Vec<Ipv4Addr> = (1..=count)
            .map(|host| Ipv4Addr::new(127, net, subnet, host))
            .collect();
        let ports = [FRONT_PORT, READY_PORT, METRICS_PORT, PEER_PORTS.0];
        let is_free = |ip: &Ipv4Addr| {
            ports
                .iter()
                .all(|port| TcpListener::bind((*ip, *port)).is_ok())
        };
        if ips.iter().all(is_free) {
            return Ok(ips);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

fn settings_text(name: &str, ip: Ipv4Addr, store: SocketAddr) -> String {
    let (first, last) = PEER_PORTS;
    format!(
        r#"{{"node":"{name}","role":"daemon","machineClass":"edge","serves":["edge"],"ip":"{ip}",
"zone":"zone-a","region":"r","zones":{{"zone-a":"r"}},
"listen":{{"front":"{ip}:{FRONT_PORT}","readyAddress":"{ip}:{READY_PORT}"}},
"portRange":[{first},{last}],"seeds":[],"bootstrap":true,"lossCounts":false,
"limits":{{"cpuShare":0.1,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1500,
"contracts":["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,
"recoveryS":12,"maxHoldMs":{LONGEST_LEASE_MS},"stopTimeoutMs":200,"gangTimeoutMs":3000,
"cancel_ms":3000,"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"farFactor":1.5,
"checkpointIntervalS":0.5,"restoreMs":600,"noticeMs":4500,"migrateS":1.5,"maintenanceS":2,
"enforceFencing":true,"leaseMs":3000,"thawSlackMs":300,"paceMs":100,"harmMs":4000}},
"orders":"call",
"platform":{{"address":"{store}","form":"log","writesPerS":600,"readsPerS":2000,"parts":12,
"appendMs":2.0,"partMbS":20.0,"readMbS":80.0,"recordBytes":262144,"requestBytes":2097152,
"keep_s":300,"partMb":200,"minTtlMs":1000}}}}
"#
    )
}
