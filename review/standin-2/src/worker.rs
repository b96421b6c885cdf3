//! A runner: leases, runs and their ends.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Answer, Call, serve};
use crate::json::{Json, quote};
use crate::record::Record;
use crate::store::Store;

/// The service whose runners these are.
pub const SERVICE: &str = "huvo11a";
/// The longest lease that a runner grants (`maxHoldMs`).
pub const LONGEST_LEASE_MS: u64 = 6000;
const HEARTBEAT: Duration = Duration::from_millis(1500);
const STOP_TIME: Duration = Duration::from_millis(50);
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
const CHECKPOINT_INTERVAL_MS: u128 = 500;
const LISTED_ENDS: usize = 500;

/// A run, as its runner saw it.
#[derive(Debug, Clone)]
pub struct RunSeen {
    pub task: String,
    pub run: u64,
    pub worker: String,
    pub spec: String,
    pub started: Duration,
    pub ended: Option<(Duration, &'static str)>,
}

/// All runs on all runners.
#[derive(Debug, Default)]
pub struct Runs(Mutex<Vec<RunSeen>>);

impl Runs {
    /// Returns all runs.
    pub fn all(&self) -> Vec<RunSeen> {
        self.lock().clone()
    }

    /// Returns the runs of the tasks of a job.
    pub fn of_job(&self, job: &str) -> Vec<RunSeen> {
        let runs = self.lock();
        let mine = runs.iter().filter(|run| run.task.starts_with(job));
        mine.cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<RunSeen>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug)]
struct Active {
    run: u64,
    index: usize,
    started: Instant,
    length: Duration,
    stops_at: Option<Instant>,
}

#[derive(Debug)]
struct State {
    token: u64,
    deadline_ms: u64,
    active: BTreeMap<String, Active>,
    closed: HashMap<String, u64>,
    ends: VecDeque<(u64, String, u64, &'static str, String)>,
    next_end: u64,
}

/// A runner.
#[derive(Debug)]
pub struct Worker {
    pub id: String,
    address: SocketAddr,
    start: Instant,
    born: u128,
    state: Mutex<State>,
    changed: Condvar,
    runs: Arc<Runs>,
    record: Arc<Record>,
}

impl Worker {
    /// Starts a runner, which registers itself in the store.
    pub fn start(
        id: &str,
        listener: TcpListener,
        store: Arc<Store>,
        runs: Arc<Runs>,
        record: Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let worker = Arc::new(Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            start: Instant::now(),
            born: since.unwrap_or_default().as_millis(),
            state: Mutex::new(State {
                token: 0,
                deadline_ms: 0,
                active: BTreeMap::new(),
                closed: HashMap::new(),
                ends: VecDeque::new(),
                next_end: 1,
            }),
            changed: Condvar::new(),
            runs,
            record,
        });
        let served = Arc::clone(&worker);
        serve(listener, move |call| served.answer(&call));
        let watched = Arc::clone(&worker);
        thread::spawn(move || {
            loop {
                watched.advance();
                thread::sleep(CHECK_INTERVAL);
            }
        });
        let beating = Arc::clone(&worker);
        thread::spawn(move || {
            for sequence in 1.. {
                store.publish("keyed.servers", &beating.id, &beating.entry(sequence));
                thread::sleep(HEARTBEAT);
            }
        });
        Ok(worker)
    }

    fn entry(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{SERVICE}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"v1\",\
             \"slots\":8,\"state\":\"ready\",\"coldRemainingMs\":0,\
             \"capacity\":{{\"cpu\":32000,\"memMb\":128000,\"gpu\":0}},\"labels\":[\"a\",\"r1-1\"],\
             \"born\":{},\"clockMs\":{},\"sequence\":{sequence}}}",
            self.address,
            self.born,
            self.clock_ms()
        )
    }

    fn clock_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, call: &Call) -> Answer {
        if call.path == "/health" {
            return Answer::json(200, "{}".to_owned());
        }
        if call
            .header("expect-instance")
            .is_some_and(|id| id != self.id)
        {
            return self.reply(421, "");
        }
        let Some(body) = Json::read(&call.body) else {
            return self.reply(400, "");
        };
        let mut state = self.lock();
        let token = body.get("fencingToken").whole().unwrap_or(0);
        if token < state.token {
            return self.reply(409, ",\"reason\":\"fence\"");
        }
        state.token = token;
        match call.path.as_str() {
            "/v1/run-start" => self.start_run(&mut state, &body),
            "/v1/run-stop" => self.stop_run(&mut state, &body),
            "/v1/pace" => self.reply(200, ""),
            "/v1/hold" => self.hold(state, &body),
            _ => self.reply(404, ""),
        }
    }

    fn reply(&self, status: u16, more: &str) -> Answer {
        let (clock, born) = (self.clock_ms(), self.born);
        Answer::json(
            status,
            format!("{{\"clockMs\":{clock},\"born\":{born}{more}}}"),
        )
    }

    fn extend(&self, state: &mut State, body: &Json) {
        let Some(deadline) = body.get("deadlineMs").whole() else {
            return;
        };
        let longest = self.clock_ms() + LONGEST_LEASE_MS;
        state.deadline_ms = state.deadline_ms.max(deadline.min(longest));
    }

    fn start_run(&self, state: &mut State, body: &Json) -> Answer {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run").whole().unwrap_or(0);
        let spec = body.get("spec").text().unwrap_or_default().to_owned();
        if body.get("deadlineMs").whole().unwrap_or(0) <= self.clock_ms() {
            return self.reply(409, ",\"reason\":\"late\"");
        }
        self.extend(state, body);
        if state.active.get(&task).is_some_and(|one| one.run == run) {
            return self.reply(200, "");
        }
        if state.closed.get(&task).is_some_and(|closed| run <= *closed) {
            return self.reply(409, ",\"reason\":\"old\"");
        }
        let length = run_length(&task, &spec);
        let mut runs = self.runs.lock();
        let index = runs.len();
        runs.push(RunSeen {
            task: task.clone(),
            run,
            worker: self.id.clone(),
            spec,
            started: self.record.elapsed(),
            ended: None,
        });
        drop(runs);
        let active = Active {
            run,
            index,
            started: Instant::now(),
            length,
            stops_at: None,
        };
        state.active.insert(task, active);
        self.reply(200, "")
    }

    fn stop_run(&self, state: &mut State, body: &Json) -> Answer {
        let task = body.get("task").text().unwrap_or_default().to_owned();
        let run = body.get("run").whole().unwrap_or(0);
        let closed = state.closed.entry(task.clone()).or_default();
        *closed = run.max(*closed);
        let active = state.active.get_mut(&task).filter(|one| one.run == run);
        if let Some(active) = active {
            active.stops_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        self.reply(200, "")
    }

    fn hold(&self, mut state: MutexGuard<'_, State>, body: &Json) -> Answer {
        self.extend(&mut state, body);
        let seen = body.get("lastSeen").whole().unwrap_or(0);
        while state
            .ends
            .front()
            .is_some_and(|(number, ..)| *number <= seen)
        {
            state.ends.pop_front();
        }
        let wait = Duration::from_millis(body.get("waitMs").whole().unwrap_or(0).min(2000));
        let deadline = Instant::now() + wait;
        while state.ends.is_empty() {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let running: Vec<String> = state
            .active
            .iter()
            .map(|(task, one)| {
                let saved = quote(&one.checkpoint());
                let (run, percent) = (one.run, one.percent());
                format!("[{},{run},{saved},{percent},0]", quote(task))
            })
            .collect();
        let ended: Vec<String> = state
            .ends
            .iter()
            .take(LISTED_ENDS)
            .map(|(number, task, run, how, saved)| {
                format!(
                    "[{number},{},{run},\"{how}\",{}]",
                    quote(task),
                    quote(saved)
                )
            })
            .collect();
        let (running, ended) = (running.join(","), ended.join(","));
        self.reply(
            200,
            &format!(",\"running\":[{running}],\"ended\":[{ended}]"),
        )
    }

    /// Ends the runs whose time is over, and all if the lease is.
    fn advance(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        let has_lapsed = state.deadline_ms <= self.clock_ms();
        let mut ended = Vec::new();
        for (task, one) in &state.active {
            let how = match one.stops_at {
                _ if now >= one.started + one.length => "done",
                Some(at) if at <= now => "stopped",
                _ if has_lapsed => "lapsed",
                _ => continue,
            };
            ended.push((task.clone(), how));
        }
        for (task, how) in &ended {
            let Some(one) = state.active.remove(task) else {
                continue;
            };
            let closed = state.closed.entry(task.clone()).or_default();
            *closed = one.run.max(*closed);
            let number = state.next_end;
            state.next_end += 1;
            let end = (number, task.clone(), one.run, *how, one.checkpoint());
            state.ends.push_back(end);
            let at = self.record.elapsed();
            if let Some(seen) = self.runs.lock().get_mut(one.index) {
                seen.ended = Some((at, how));
            }
        }
        if !ended.is_empty() {
            self.changed.notify_all();
        }
    }
}

/// Returns how long a task works. The spec holds the milliseconds for the tasks of each step, with commas
/// in between; the last ones hold for all later steps.
fn run_length(task: &str, spec: &str) -> Duration {
    let step = task.split('.').nth(2).and_then(|step| step.parse().ok());
    let lengths: Vec<u64> = spec.split(',').filter_map(|one| one.parse().ok()).collect();
    let length = lengths.get(step.unwrap_or(0)).or(lengths.last());
    Duration::from_millis(length.copied().unwrap_or(1000))
}

impl Active {
    fn percent(&self) -> u128 {
        let whole = self.length.as_millis().max(1);
        (self.started.elapsed().as_millis() * 100 / whole).min(99)
    }

    fn checkpoint(&self) -> String {
        let count = self.started.elapsed().as_millis() / CHECKPOINT_INTERVAL_MS;
        if count == 0 {
            return String::new();
        }
        format!("{count:016x}")
    }
}
