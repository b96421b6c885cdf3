//! A small deployment: the store, runners and daemons.

use std::env;
use std::fs;
use std::io;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::daemon::{Daemon, free_addresses};
use crate::http::request;
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Runs, SERVICE, Worker};

/// The host of all routes.
pub const HOST: &str = "nony24.example";
/// The time for which a client waits for an answer.
pub const DEADLINE: Duration = Duration::from_secs(3);
/// The time from the start of the machines to the start of traffic.
const LEAD: Duration = Duration::from_secs(10);

/// A route of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
}

/// A deployment, which ends with this value.
pub struct Rig {
    pub record: Arc<Record>,
    pub store: Arc<Store>,
    pub runs: Arc<Runs>,
    pub daemons: Vec<Daemon>,
    folder: PathBuf,
}

impl Rig {
    /// Starts a deployment with a first configuration, and waits until traffic may begin.
    pub fn start(path: &Path, daemons: u8, workers: usize, routes: &[Route]) -> io::Result<Self> {
        let record = Arc::new(Record::create(path)?);
        let folder = env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store_address = listener.local_addr()?;
        let store = Store::start(listener, Arc::clone(&record));
        let runs = Arc::new(Runs::default());
        let mut rig = Self {
            record,
            store,
            runs,
            daemons: Vec::new(),
            folder,
        };
        rig.publish(1, routes);
        for index in 0..workers {
            let id = format!(
                "i-{:010x}",
                0x9e37_79b9_7f * (index as u64 + 1) & 0xff_ffff_ffff
            );
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let (store, runs) = (Arc::clone(&rig.store), Arc::clone(&rig.runs));
            Worker::start(&id, listener, store, runs, Arc::clone(&rig.record))?;
        }
        let program = PathBuf::from("target/release/geraniumshed");
        if !program.exists() {
            return Err(io::Error::other("target/release/geraniumshed isn't built"));
        }
        for (index, ip) in (1..).zip(free_addresses(daemons)?) {
            let name = format!("edge-{index}");
            let daemon = Daemon::new(&name, ip, &program, store_address, &rig.folder)?;
            rig.daemons.push(daemon);
        }
        rig.start_daemons()?;
        sleep(LEAD);
        Ok(rig)
    }

    pub fn note(&self, text: &str) {
        self.record.line(text);
    }

    pub fn start_daemons(&mut self) -> io::Result<()> {
        for daemon in &mut self.daemons {
            daemon.start()?;
        }
        let names: Vec<&str> = self.daemons.iter().map(|one| one.name.as_str()).collect();
        self.note(&format!("processes started: {}", names.join(" ")));
        Ok(())
    }

    /// Kills the processes of all daemons.
    pub fn kill_daemons(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        self.note("SIGKILL to the processes of all daemons");
    }

    /// Publishes a configuration, as the operator does.
    pub fn publish(&self, version: u64, routes: &[Route]) {
        let rows: Vec<String> = routes.iter().map(|route| route_text(*route)).collect();
        let text = format!(
            "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{SERVICE}\",\
             \"healthPath\":\"/health\",\"maxConnections\":64,\"protocol\":\"h1\",\"tls\":false,\
             \"rejectsOverload\":true,\"standby\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\
             \"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
            rows.join(",")
        );
        self.store.publish("keyed.op", "config", &text);
        let names: Vec<&str> = routes.iter().map(|route| route.name).collect();
        self.note(&format!(
            "operator: configuration {version} with the routes {} is acknowledged",
            names.join(" ")
        ));
    }

    /// Sends a client's call to a daemon, and returns the status, 0 if there is no answer.
    pub fn call(&self, daemon: usize, method: &str, target: &str, body: &str) -> (u16, String) {
        let daemon = &self.daemons[daemon];
        let begun = Instant::now();
        let answer = request(daemon.front(), method, target, HOST, body, DEADLINE);
        let taken = begun.elapsed().as_millis();
        let (status, text) = answer.unwrap_or_else(|error| (0, error.to_string()));
        let length = body.len();
        let shown: String = text.chars().take(60).collect();
        self.note(&format!(
            "client: {method} {target} ({length} bytes) to {} -> {status} {shown} after {taken} ms",
            daemon.name
        ));
        (status, text)
    }

    /// Submits a job until a daemon accepts it or the time is up. Returns the daemon.
    pub fn submit(&self, target: &str, body: &str, limit: Duration) -> Option<usize> {
        let begun = Instant::now();
        let mut turn = 0;
        while begun.elapsed() < limit {
            let daemon = turn % self.daemons.len();
            if (200..300).contains(&self.call(daemon, "POST", target, body).0) {
                return Some(daemon);
            }
            turn += 1;
            sleep(Duration::from_millis(20));
        }
        None
    }

    /// Waits until a job has as many runs that ended as done, or the time is up.
    pub fn await_done(&self, job: &str, count: usize, limit: Duration) -> bool {
        let begun = Instant::now();
        loop {
            let runs = self.runs.of_job(job);
            let done = runs
                .iter()
                .filter(|run| matches!(run.ended, Some((_, "done"))));
            if done.count() >= count {
                return true;
            }
            if begun.elapsed() >= limit {
                return false;
            }
            sleep(Duration::from_millis(50));
        }
    }

    /// Records the runs of a job.
    pub fn note_runs(&self, job: &str) {
        let runs = self.runs.of_job(job);
        self.note(&format!("runners: {} runs of job {job}", runs.len()));
        for run in runs.iter().take(20) {
            let (task, number, worker) = (&run.task, run.run, &run.worker);
            let started = run.started.as_secs_f64();
            let end = run
                .ended
                .map(|(at, how)| format!("{how} at {:.3}", at.as_secs_f64()));
            let end = end.unwrap_or_else(|| "running".to_owned());
            let spec = &run.spec;
            self.note(&format!(
                "  {task} run {number} on {worker}, spec {spec}, started at {started:.3}, {end}"
            ));
        }
    }

    /// Records the lines of the daemons' logs that contain a word.
    pub fn note_logs(&self, words: &[&str], limit: usize) {
        for daemon in &self.daemons {
            let text = daemon.log_text();
            let lines = text.lines();
            let found = lines.filter(|line| words.iter().any(|word| line.contains(word)));
            for line in found.take(limit) {
                let shown: String = line.chars().take(600).collect();
                self.note(&format!("log of {}: {shown}", daemon.name));
            }
        }
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for daemon in &mut self.daemons {
            daemon.kill();
        }
        if env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

fn route_text(route: Route) -> String {
    let Route { name, prefix } = route;
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
         \"kind\":\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,\"priority\":0,\
         \"service\":\"{SERVICE}\",\"maxAttempts\":4,\"stretch\":2.0}}"
    )
}
