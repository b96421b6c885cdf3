//! What all cases share: a store, workers, daemons and clients.

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::thread::sleep;
use std::time::Duration;

use crate::daemons::Daemons;
use crate::fleet::{Fleet, Run, StepWork, WorkerKind};
use crate::http;
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// The name of the service of all queues.
pub const SERVICE: &str = "rellamada";
/// The host of all queues.
pub const HOST: &str = "cola.example";
/// The time for which a client waits for an answer (`Deadline-Ms`).
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// The number of attempts of a client.
const ATTEMPTS: usize = 5;

/// The result of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

/// Which disruptions a case plays.
#[derive(Debug)]
pub enum Trouble {
    All,
    None,
    /// Only the one with this name.
    Only(String),
}

impl Trouble {
    /// Reads the variable `TROUBLE`: `0` for none, or the name of a disruption.
    pub fn read() -> Self {
        match std::env::var("TROUBLE") {
            Ok(text) if text == "0" => Self::None,
            Ok(text) if !text.is_empty() && text != "1" => Self::Only(text),
            _ => Self::All,
        }
    }

    /// Returns whether a disruption is played.
    pub fn has(&self, name: &str) -> bool {
        match self {
            Self::All => true,
            Self::None => false,
            Self::Only(only) => only == name,
        }
    }
}

/// The parts of a case.
#[derive(Debug)]
pub struct World {
    pub record: Record,
    pub store: Store,
    pub fleet: Fleet,
    pub daemons: Daemons,
    scratch: PathBuf,
}

impl World {
    /// Starts a store with a configuration, workers and daemons, and waits until tasks can run.
    pub fn start(
        program: &Path,
        folder: &Path,
        queues: &[Queue],
        workers: Vec<WorkerKind>,
        daemons: usize,
    ) -> io::Result<Self> {
        let record = Record::create(&folder.join("record.txt"))?;
        let name = format!("geraniumshed-review-{}", std::process::id());
        let scratch = std::env::temp_dir().join(name);
        fs::create_dir_all(&scratch)?;
        let store = Store::default();
        store.publish("keyed.op", "config", config(1, queues).as_bytes());
        let fleet = Fleet::start(workers, SERVICE, store.clone(), record.clone())?;
        let daemons = Daemons::start(daemons, program, &scratch, &store, &record)?;
        record.say("all daemons are ready");
        // Traffic starts ten seconds after the machines do.
        sleep(Duration::from_secs(5));
        Ok(Self {
            record,
            store,
            fleet,
            daemons,
            scratch,
        })
    }

    /// Publishes a configuration.
    pub fn publish(&self, version: u64, queues: &[Queue]) {
        let config = config(version, queues);
        self.store.publish("keyed.op", "config", config.as_bytes());
        self.record
            .say(format!("configuration {version} is acknowledged: {config}"));
    }

    /// Hands a job in, at one daemon after the other, and returns whether it was accepted.
    pub fn submit(&self, queue: &str, id: &str, body: &str, steps: Vec<StepWork>) -> bool {
        self.fleet.expect_job(id, steps);
        for attempt in 0..ATTEMPTS {
            let answer = self.call(attempt, "POST", &format!("/{queue}/{id}"), body);
            match answer {
                Some((200..=299, _)) => return true,
                Some((502 | 504, _)) | None => {}
                Some(_) => sleep(Duration::from_millis(300)),
            }
        }
        false
    }

    /// Calls a daemon as a client.
    pub fn call(
        &self,
        daemon: usize,
        method: &str,
        path: &str,
        body: &str,
    ) -> Option<(u16, String)> {
        let daemon = daemon % self.daemons.len();
        self.record.line(format!(
            "client: {method} {path} to daemon {daemon} {}",
            excerpt(body)
        ));
        let front = self.daemons.front(daemon);
        let answer = http::call(front, method, path, HOST, body, CLIENT_TIMEOUT);
        self.record
            .line(format!("client: {method} {path} answered {answer:?}"));
        answer
    }

    /// Returns the state of a job, as one of the daemons tells it.
    pub fn state(&self, queue: &str, id: &str) -> String {
        for daemon in 0..self.daemons.len() {
            match self.call(daemon, "GET", &format!("/{queue}/{id}"), "") {
                Some((200, body)) => {
                    let body = Json::parse(body.as_bytes()).unwrap_or(Json::Null);
                    return body.text("state").unwrap_or_default().to_owned();
                }
                Some((404 | 410, _)) => return "unknown".to_owned(),
                Some(_) | None => {}
            }
        }
        "no answer".to_owned()
    }

    /// Waits until a condition holds, and returns whether it did in time.
    pub fn wait_for(&self, limit: Duration, mut holds: impl FnMut(&Self) -> bool) -> bool {
        let until = self.record.now() + limit;
        while self.record.now() < until {
            if holds(self) {
                return true;
            }
            sleep(Duration::from_millis(20));
        }
        false
    }

    /// Waits until tasks of a job have run in the number given and all have ended.
    pub fn wait_until_done(&self, limit: Duration, id: &str, tasks: usize) -> bool {
        self.wait_for(limit, |world| {
            let runs = world.fleet.runs(id);
            done_tasks(&runs) == tasks
        })
    }
}

impl Drop for World {
    fn drop(&mut self) {
        for daemon in self.daemons.own_ends() {
            self.record
                .say(format!("daemon {daemon} has ended by itself"));
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.scratch);
        }
    }
}

/// A queue of the configuration.
#[derive(Debug, Clone, Copy)]
pub struct Queue {
    pub name: &'static str,
    pub priority: u64,
    pub attempts: u64,
}

/// Returns a configuration as the operator writes it.
fn config(version: u64, queues: &[Queue]) -> String {
    let routes = queues.iter().map(|queue| {
        let Queue {
            name,
            priority,
            attempts,
        } = queue;
        format!(
            r#"{{"name":"r-{name}","host":"{HOST}","pathPrefix":"/{name}/","kind":"non_idempotent","timeoutMs":3000,"targetLatencyMs":1000,"priority":{priority},"service":"{SERVICE}","maxAttempts":{attempts},"stretch":2.0}}"#
        )
    });
    let routes: Vec<String> = routes.collect();
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"{SERVICE}","healthPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"rejectsOverload":true,"standby":false}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}}}"#,
        routes.join(",")
    )
}

/// Returns workers as those of the site, numbered from `first` on.
pub fn workers(first: usize, count: usize, kind: &str) -> Vec<WorkerKind> {
    let worker = |number: usize| WorkerKind {
        id: format!("i-{:010x}", 0x7f3a_9100_u64 + number as u64),
        kind: kind.to_owned(),
        rack: format!("r1-{}", number / 8),
        cpu: 32_000,
        mem_mb: 128_000,
    };
    (first..first + count).map(worker).collect()
}

/// Returns the number of tasks of which a run has ended `done`.
pub fn done_tasks(runs: &[Run]) -> usize {
    let mut done: Vec<&str> = runs
        .iter()
        .filter(|run| run.ended.is_some_and(|(_, how)| how == "done"))
        .map(|run| run.task.as_str())
        .collect();
    done.sort_unstable();
    done.dedup();
    done.len()
}

/// Returns the runs that began after a run of the same task had ended `done`, where that end was taken
/// note of at any time (the rule TWICE), with that end.
pub fn starts_after_done(runs: &[Run]) -> Vec<(Run, Run)> {
    let mut by_task: BTreeMap<&str, Vec<&Run>> = BTreeMap::new();
    for run in runs {
        by_task.entry(&run.task).or_default().push(run);
    }
    let mut found = Vec::new();
    for runs in by_task.values() {
        for run in runs {
            let earlier = runs.iter().find(|one| {
                let is_done = one
                    .ended
                    .is_some_and(|(at, how)| how == "done" && at < run.started);
                is_done && one.noted.is_some()
            });
            found.extend(earlier.map(|one| ((*one).clone(), (*run).clone())));
        }
    }
    found
}

fn excerpt(text: &str) -> &str {
    text.get(..200).unwrap_or(text)
}
