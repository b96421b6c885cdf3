//! The daemons, each a process of its own, started with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::Duration;

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// The port for clients.
const FRONT_PORT: u16 = 8161;
/// The port for readiness checks.
const READY_PORT: u16 = 8167;
/// The time after which a process that was killed is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);

#[derive(Debug)]
struct Slot {
    child: Option<Child>,
    is_wanted: bool,
}

#[derive(Debug)]
struct Shared {
    program: PathBuf,
    folder: PathBuf,
    slots: Vec<Mutex<Slot>>,
    record: Record,
}

/// The daemons. They are killed when this is dropped.
#[derive(Debug)]
pub struct Daemons {
    shared: Arc<Shared>,
}

impl Daemons {
    /// Starts daemons, and waits until all are ready.
    pub fn start(
        count: usize,
        program: &Path,
        folder: &Path,
        store: &Store,
        record: &Record,
    ) -> io::Result<Self> {
        for index in 0..count {
            let settings = settings(index, store.listen(index)?);
            fs::write(folder.join(format!("d{index}.json")), settings)?;
        }
        let slot = |_| {
            Mutex::new(Slot {
                child: None,
                is_wanted: true,
            })
        };
        let shared = Arc::new(Shared {
            program: program.to_owned(),
            folder: folder.to_owned(),
            slots: (0..count).map(slot).collect(),
            record: record.clone(),
        });
        for index in 0..count {
            shared.spawn(index)?;
        }
        let daemons = Self { shared };
        for _ in 0..100 {
            if (0..count).all(|index| daemons.is_ready(index)) {
                return Ok(daemons);
            }
            sleep(Duration::from_millis(100));
        }
        Err(io::Error::other("the daemons don't become ready"))
    }

    /// Returns the number of daemons.
    pub fn len(&self) -> usize {
        self.shared.slots.len()
    }

    /// Returns the address for clients of a daemon.
    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(ip(index).into(), FRONT_PORT)
    }

    /// Returns whether a daemon is ready.
    pub fn is_ready(&self, index: usize) -> bool {
        let address = SocketAddr::new(ip(index).into(), READY_PORT);
        let answer = http::call(
            address,
            "GET",
            "/v1/ready",
            "ready",
            "",
            Duration::from_secs(1),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Kills a daemon, which is started again after a short delay.
    pub fn kill(&self, index: usize) {
        self.shared.record.say(format!("SIGKILL to daemon {index}"));
        self.shared.kill(index);
        let shared = Arc::clone(&self.shared);
        spawn(move || {
            sleep(RESTART_DELAY);
            if shared.slot(index).is_wanted {
                shared.record.say(format!("daemon {index} starts again"));
                let _ = shared.spawn(index);
            }
        });
    }

    /// Returns the daemons whose processes have ended by themselves.
    pub fn own_ends(&self) -> Vec<usize> {
        let has_ended = |index: &usize| {
            let mut slot = self.shared.slot(*index);
            let status = slot.child.as_mut().map(Child::try_wait);
            matches!(status, Some(Ok(Some(_))))
        };
        (0..self.len()).filter(has_ended).collect()
    }
}

impl Drop for Daemons {
    fn drop(&mut self) {
        for index in 0..self.len() {
            self.shared.slot(index).is_wanted = false;
            self.shared.kill(index);
        }
    }
}

impl Shared {
    fn slot(&self, index: usize) -> MutexGuard<'_, Slot> {
        self.slots[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn spawn(&self, index: usize) -> io::Result<()> {
        let log = self.folder.join(format!("d{index}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let child = Command::new(&self.program)
            .args(["serve", "--metrics-port", "9464"])
            .env_clear()
            .env(
                "GERANIUMSHED_NODE_FILE",
                self.folder.join(format!("d{index}.json")),
            )
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.slot(index).child = Some(child);
        Ok(())
    }

    fn kill(&self, index: usize) {
        if let Some(mut child) = self.slot(index).child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Returns the address of a daemon. Cases that run at the same time use others.
fn ip(index: usize) -> Ipv4Addr {
    let own = std::process::id();
    let octet = |value: u32| u8::try_from(value % 256).unwrap_or_default();
    Ipv4Addr::new(
        127,
        octet(100 + own % 100),
        octet(own / 100),
        octet(1 + index as u32),
    )
}

/// Returns the settings file of a daemon, with the figures of the site.
fn settings(index: usize, store: SocketAddr) -> String {
    let ip = ip(index);
    let zone = ["mvd-centro", "mvd-prado", "mvd-carrasco"][index % 3];
    format!(
        r#"{{"node":"edge-{zone}-{index}","role":"daemon","machineClass":"edge","serves":["edge"],
"ip":"{ip}","zone":"{zone}","region":"mvd",
"zones":{{"mvd-centro":"mvd","mvd-prado":"mvd","mvd-carrasco":"mvd"}},
"listen":{{"front":"{ip}:{FRONT_PORT}","readyAddress":"{ip}:{READY_PORT}"}},
"portRange":[7720,7735],"seeds":[],"bootstrap":true,"lossCounts":false,
"limits":{{"cpuShare":0.1,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"vip","heartbeatMs":1500,
"contracts":["base","drain","config","cost","recover","sched","platform","advice","upkeep","sharing"],
"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
"graceS":6,"lossSlackMs":200,"configApplyMs":2000,"rollbackSlackMs":250,"maxStretchMs":5000,
"recoveryS":12,"maxHoldMs":6000,"stopTimeoutMs":200,"gangTimeoutMs":3000,"cancel_ms":3000,
"visible_ms":3000,"early_ms":250,"finish_s":14,"status_s":120,"farFactor":1.5,
"checkpointIntervalS":0.5,"restoreMs":600,"noticeMs":4500,"migrateS":1.5,"maintenanceS":2,
"enforceFencing":true,"leaseMs":3000,"thawSlackMs":300,"paceMs":100,"harmMs":4000}},
"orders":"call",
"platform":{{"address":"{store}","form":"log","writesPerS":600,"readsPerS":2000,"parts":12,
"appendMs":2.0,"partMbS":20.0,"readMbS":80.0,"recordBytes":262144,"requestBytes":2097152,
"keep_s":300,"partMb":200,"minTtlMs":1000}}}}"#
    )
}
