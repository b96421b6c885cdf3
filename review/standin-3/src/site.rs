//! A small deployment: the store, runners and three daemons.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::daemon::Daemon;
use crate::http::call;
use crate::record::Recorder;
use crate::store::Store;
use crate::worker::{Fleet, Jobs, SERVICE};

/// The host that clients name.
pub const HOST: &str = "jobs.example";
/// The queues, with their priorities and path prefixes.
pub const QUEUES: [(&str, u64); 2] = [("urgent", 0), ("batch", 2)];
/// The number of daemons.
const DAEMONS: u8 = 3;
/// The capacity of a runner: processors in thousandths and memory in megabytes.
const CAPACITY: (u64, u64) = (32_000, 125_000);

/// A deployment that runs.
pub struct Site {
    pub recorder: Recorder,
    pub store: Store,
    pub jobs: Jobs,
    pub fleet: Fleet,
    pub daemons: Arc<Mutex<Vec<Daemon>>>,
    pub fronts: Vec<SocketAddr>,
    ready: Vec<SocketAddr>,
    is_over: Arc<AtomicBool>,
    /// The file with the ids of the daemons' processes.
    pids: PathBuf,
}

impl Site {
    pub fn start(
        program: &Path,
        directory: &Path,
        recorder: &Recorder,
        workers: usize,
        ways: [Duration; 3],
    ) -> io::Result<Self> {
        let store = Store::start(recorder.clone())?;
        let routes: Vec<_> = QUEUES
            .iter()
            .map(|(name, priority)| {
                json!({"name": name, "host": HOST, "pathPrefix": format!("/{name}/"),
                    "kind": "non_idempotent", "timeoutMs": 3000, "targetLatencyMs": 2000,
                    "priority": priority, "service": SERVICE, "maxAttempts": 4, "stretch": 2.0})
            })
            .collect();
        let config = json!({"version": 1, "routes": routes, "services": [{"name": SERVICE}],
            "limits": {"maxBodyBytes": 262_144}});
        store.publish("keyed.op", "config", &config);
        let jobs = Jobs::default();
        let fleet = Fleet::start(workers, CAPACITY, ways, &store, &jobs, recorder)?;
        let mut daemons = Vec::new();
        for number in 0..DAEMONS {
            daemons.push(Daemon::start(program, directory, number, store.address)?);
        }
        let fronts = daemons.iter().map(|daemon| daemon.front).collect();
        let ready = daemons.iter().map(|daemon| daemon.ready).collect();
        let site = Self {
            recorder: recorder.clone(),
            store,
            jobs,
            fleet,
            daemons: Arc::new(Mutex::new(daemons)),
            fronts,
            ready,
            is_over: Arc::default(),
            pids: directory.join("pids"),
        };
        site.watch();
        Ok(site)
    }

    /// Looks after the daemons, and keeps the ids of their processes in a file.
    fn watch(&self) {
        let pids = self.pids.clone();
        let (daemons, is_over) = (Arc::clone(&self.daemons), Arc::clone(&self.is_over));
        let recorder = self.recorder.clone();
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                {
                    let mut daemons = daemons.lock().expect("no thread panics with the lock");
                    for daemon in daemons.iter_mut() {
                        daemon.watch(&recorder);
                    }
                    let ids: Vec<String> = daemons.iter().filter_map(Daemon::pid).collect();
                    // Only a cleanup after an abort reads the file.
                    drop(fs::write(&pids, ids.join("\n")));
                }
                thread::sleep(Duration::from_millis(50));
            }
        });
    }

    /// Waits until all daemons say that they are ready.
    pub fn await_ready(&self) -> io::Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        let limit = Duration::from_millis(500);
        for address in &self.ready {
            let is_ready = || {
                let answer = call(*address, "GET", HOST, "/v1/ready", b"", limit);
                answer.is_ok_and(|(status, _)| status == 200)
            };
            while !is_ready() {
                if Instant::now() >= until {
                    return Err(io::Error::other("the daemons don't get ready"));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        thread::sleep(Duration::from_secs(2));
        Ok(())
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        let mut daemons = self.daemons.lock().expect("no thread panics with the lock");
        for daemon in daemons.iter_mut() {
            let line = format!(
                "{}: at most {} MB, {} ends",
                daemon.name, daemon.peak_mb, daemon.ends
            );
            self.recorder.tell(&line);
            daemon.finish();
        }
        drop(fs::remove_file(&self.pids));
    }
}
