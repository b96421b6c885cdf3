//! The runners, as the protocol page tells them: leases, runs, ends and checkpoints.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::http::{Answer, Request, serve};
use crate::record::Recorder;
use crate::store::Store;

/// The kind of most runners, and that of the second one.
const KIND: &str = "a";
pub const RARE_KIND: &str = "b";
/// The service whose tasks the runners run.
pub const SERVICE: &str = "runners";
/// The longest lease.
pub const MAX_HOLD_MS: u64 = 6_000;
/// The time of a stop.
const STOP_TIME: Duration = Duration::from_millis(100);
/// The interval of registrations.
pub const HEARTBEAT: Duration = Duration::from_millis(1_500);
/// The work between two checkpoints.
const CHECKPOINT_INTERVAL: Duration = Duration::from_millis(500);
/// The time for which a member of a gang waits for the others.
const GANG_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The number of ends in an answer.
const LISTED_ENDS: usize = 500;

/// What a step asks for, and how long its tasks take; `None` if they last.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    pub cpu: u64,
    pub mem_mb: u64,
    pub time: Option<Duration>,
    pub saves: bool,
    /// Whether tasks take from a tenth of the time to almost twice the time, by their index.
    pub is_uneven: bool,
    /// The number of members of the gang that the step is, or 0.
    pub gang: usize,
    /// The label that a runner must have.
    pub requires: Option<&'static str>,
}

impl Shape {
    /// Returns the time that a task takes.
    fn time_of(&self, task: &str) -> Option<Duration> {
        let index: u32 = task.rsplit('.').next()?.parse().ok()?;
        let per_mille = if self.is_uneven {
            100 + index.wrapping_mul(97) % 1_800
        } else {
            1_000
        };
        self.time.map(|time| time * per_mille / 1_000)
    }
}

/// The shapes of the steps of all jobs that clients have sent.
pub type Jobs = Arc<Mutex<HashMap<String, Vec<Shape>>>>;

/// The runs of gangs on all runners, by the step and the number of the run.
pub type Gangs = Arc<Mutex<HashMap<(String, u64), GangRun>>>;

/// A run of a gang.
#[derive(Debug, Default)]
pub struct GangRun {
    present: HashSet<String>,
    /// Since when all members are present.
    complete_at: Option<Instant>,
    /// Whether a member has ended otherwise than done.
    is_broken: bool,
}

#[derive(Debug, Clone)]
struct Run {
    run: u64,
    shape: Shape,
    /// The time that it takes; `None` if it lasts.
    time: Option<Duration>,
    begun: Instant,
    /// When it was told to stop.
    stopped: Option<Instant>,
}

#[derive(Debug, Default)]
struct State {
    token: u64,
    deadline_ms: u64,
    runs: BTreeMap<String, Run>,
    ends: VecDeque<(u64, String, u64, &'static str, String)>,
    next_end: u64,
    closed: HashMap<String, u64>,
    /// When the last run of each task ended here.
    ended_at: HashMap<String, Instant>,
    /// How many runs have ended in each way.
    counts: BTreeMap<&'static str, usize>,
}

#[derive(Debug)]
pub struct Worker {
    pub id: String,
    born_ms: u64,
    begun: Instant,
    state: Mutex<State>,
    changed: Condvar,
    jobs: Jobs,
    gangs: Gangs,
    /// The time that a call takes on its way here and back.
    way: Duration,
    cpu: u64,
    mem_mb: u64,
    recorder: Recorder,
}

/// All runners.
#[derive(Debug, Clone)]
pub struct Fleet {
    pub workers: Vec<Arc<Worker>>,
}

impl Fleet {
    /// Starts runners with the given capacity and keeps them registered.
    pub fn start(
        count: usize,
        (cpu, mem_mb): (u64, u64),
        ways: [Duration; 3],
        store: &Store,
        jobs: &Jobs,
        recorder: &Recorder,
    ) -> std::io::Result<Self> {
        let mut workers = Vec::new();
        let gangs = Gangs::default();
        for number in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let address = listener.local_addr()?.to_string();
            let worker = Arc::new(Worker {
                id: format!("{:012x}", 0x5ca1_ab1e_0000u64 + number as u64 * 7919),
                born_ms: unix_ms(),
                begun: Instant::now(),
                state: Mutex::new(State {
                    next_end: 1,
                    ..State::default()
                }),
                changed: Condvar::new(),
                jobs: Arc::clone(jobs),
                gangs: Arc::clone(&gangs),
                way: ways[number % 3],
                cpu,
                mem_mb,
                recorder: recorder.clone(),
            });
            let serving = Arc::clone(&worker);
            serve(listener, move |request| serving.answer(&request));
            let ticking = Arc::clone(&worker);
            thread::spawn(move || {
                loop {
                    ticking.advance();
                    thread::sleep(Duration::from_millis(5));
                }
            });
            let (store, registered) = (store.clone(), Arc::clone(&worker));
            let zone = ["zone-a", "zone-b", "zone-c"][number % 3];
            let kind = if number == 1 { RARE_KIND } else { KIND };
            thread::spawn(move || {
                for sequence in 1u64.. {
                    let entry = json!({
                        "service": SERVICE, "address": address, "zone": zone, "version": "1",
                        "slots": 8, "state": "ready", "coldRemainingMs": 0, "sequence": sequence,
                        "capacity": {"cpu": cpu, "memMb": mem_mb},
                        "labels": [kind, format!("r-{}", number / 4)],
                        "born": registered.born_ms
                    });
                    store.publish("keyed.servers", &registered.id, &entry);
                    thread::sleep(HEARTBEAT);
                }
            });
            workers.push(worker);
        }
        Ok(Self { workers })
    }

    /// Returns the number of tasks of a job that run now.
    pub fn running(&self, job: &str) -> usize {
        let of_job = |worker: &Arc<Worker>| {
            let state = worker.lock();
            state
                .runs
                .keys()
                .filter(|task| task.starts_with(job))
                .count()
        };
        self.workers.iter().map(of_job).sum()
    }

    /// Adds the tasks of a job of which a run has ended within the given time.
    pub fn add_ended(&self, job: &str, within: Duration, tasks: &mut HashSet<String>) {
        for worker in &self.workers {
            let state = worker.lock();
            let recent = state
                .ended_at
                .iter()
                .filter(|(_, at)| at.elapsed() <= within);
            let of_job = recent.filter(|(task, _)| task.starts_with(job));
            tasks.extend(of_job.map(|(task, _)| task.clone()));
        }
    }

    /// Returns how many tasks of a shape the runners have room for.
    pub fn room_for(&self, shape: &Shape) -> u64 {
        let room = |worker: &Arc<Worker>| {
            let (cpu, mem_mb) = worker.lock().used();
            let by_cpu = worker.cpu.saturating_sub(cpu) / shape.cpu.max(1);
            by_cpu.min(worker.mem_mb.saturating_sub(mem_mb) / shape.mem_mb.max(1))
        };
        self.workers.iter().map(room).sum()
    }

    /// Adds the tasks of a job that run now.
    pub fn add_running(&self, job: &str, tasks: &mut HashSet<String>) {
        for worker in &self.workers {
            let state = worker.lock();
            let of_job = state.runs.keys().filter(|task| task.starts_with(job));
            tasks.extend(of_job.cloned());
        }
    }

    /// Returns how many runs have ended in each way.
    pub fn count_ends(&self) -> BTreeMap<&'static str, usize> {
        let mut counts = BTreeMap::new();
        for worker in &self.workers {
            for (how, count) in &worker.lock().counts {
                *counts.entry(*how).or_default() += count;
            }
        }
        counts
    }

    /// Returns the share of the processors, or of the memory if it is larger, that is in use.
    pub fn used_share(&self) -> f64 {
        let (mut cpu, mut mem, mut all_cpu, mut all_mem) = (0, 0, 0, 0);
        for worker in &self.workers {
            let used = worker.lock().used();
            cpu += used.0;
            mem += used.1;
            all_cpu += worker.cpu;
            all_mem += worker.mem_mb;
        }
        (cpu as f64 / all_cpu as f64).max(mem as f64 / all_mem as f64)
    }
}

impl State {
    fn used(&self) -> (u64, u64) {
        let runs = self.runs.values();
        runs.fold((0, 0), |(cpu, mem), run| {
            (cpu + run.shape.cpu, mem + run.shape.mem_mb)
        })
    }

    fn end(&mut self, task: &str, how: &'static str, worker: &str) -> Option<String> {
        let run = self.runs.remove(task)?;
        let closed = self.closed.entry(task.to_owned()).or_default();
        *closed = run.run.max(*closed);
        let saved = run.checkpoint(task);
        self.ends
            .push_back((self.next_end, task.to_owned(), run.run, how, saved));
        self.next_end += 1;
        self.ended_at.insert(task.to_owned(), Instant::now());
        *self.counts.entry(how).or_default() += 1;
        Some(format!("run {task} {} ends {how} on {worker}", run.run))
    }
}

impl Run {
    /// Returns a checkpoint that names the task and how far it is, with 16 characters.
    fn checkpoint(&self, task: &str) -> String {
        if !self.shape.saves {
            return String::new();
        }
        let steps = self.begun.elapsed().as_millis() / CHECKPOINT_INTERVAL.as_millis();
        if steps == 0 {
            return String::new();
        }
        let sum = task.bytes().fold(0u32, |sum, byte| {
            sum.wrapping_mul(31).wrapping_add(u32::from(byte))
        });
        format!("{steps:08x}{sum:08x}")
    }
}

impl Worker {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn clock_ms(&self) -> u64 {
        u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// Ends the runs that are due, and all of them if the lease is over.
    fn advance(&self) {
        let mut state = self.lock();
        let is_lapsed = state.deadline_ms <= self.clock_ms();
        let due: Vec<(String, &'static str)> = state
            .runs
            .iter()
            .filter_map(|(task, run)| {
                let is_stopped = run.stopped.is_some_and(|at| at.elapsed() >= STOP_TIME);
                let how = match (is_stopped, is_lapsed) {
                    (true, _) => "stopped",
                    _ if run.shape.gang > 0 => self.gang_end(task, run, is_lapsed)?,
                    _ if run.time.is_some_and(|time| run.begun.elapsed() >= time) => "done",
                    (_, true) => "lapsed",
                    _ => return None,
                };
                Some((task.clone(), how))
            })
            .collect();
        if due.is_empty() {
            return;
        }
        for (task, how) in &due {
            if let Some(run) = state.runs.get(task).filter(|run| run.shape.gang > 0) {
                let mut gangs = self.gangs.lock().expect("no thread panics with the lock");
                let gang = gangs.entry((step_of(task), run.run)).or_default();
                gang.is_broken |= !matches!(*how, "done" | "alone");
            }
        }
        let lines: Vec<String> = due
            .iter()
            .filter_map(|(task, how)| state.end(task, how, &self.id))
            .collect();
        drop(state);
        self.changed.notify_all();
        for line in lines {
            self.recorder.note(&line);
        }
    }

    /// Returns how the member of a gang ends now, if it does.
    fn gang_end(&self, task: &str, run: &Run, is_lapsed: bool) -> Option<&'static str> {
        let mut gangs = self.gangs.lock().expect("no thread panics with the lock");
        let gang = gangs.entry((step_of(task), run.run)).or_default();
        let is_done = run.time.zip(gang.complete_at);
        if is_done.is_some_and(|(time, at)| at.elapsed() >= time) {
            return Some("done");
        }
        let is_alone = gang.complete_at.is_none() && run.begun.elapsed() >= GANG_TIMEOUT;
        match (is_lapsed, gang.is_broken, is_alone) {
            (true, ..) => Some("lapsed"),
            (_, true, _) => Some("broken"),
            (_, _, true) => Some("alone"),
            _ => None,
        }
    }

    fn answer(&self, request: &Request) -> Answer {
        if request
            .headers
            .get("expect-instance")
            .is_some_and(|id| *id != self.id)
        {
            return self.reply(421, json!({}));
        }
        let Ok(body) = serde_json::from_slice::<Value>(&request.body) else {
            return self.reply(if request.method == "GET" { 200 } else { 400 }, json!({}));
        };
        thread::sleep(self.way / 2);
        let answer = match request.path.as_str() {
            "/v1/run-start" => self.start(&body),
            "/v1/run-stop" => self.stop(&body),
            "/v1/hold" => self.hold(&body),
            "/v1/pace" => self.reply(200, json!({})),
            _ => self.reply(404, json!({})),
        };
        thread::sleep(self.way / 2);
        answer
    }

    fn reply(&self, status: u16, mut body: Value) -> Answer {
        body["clockMs"] = json!(self.clock_ms());
        body["born"] = json!(self.born_ms);
        Answer::json(status, &body)
    }

    fn refuse(&self, reason: &str) -> Answer {
        self.reply(409, json!({"reason": reason}))
    }

    fn extend(&self, state: &mut State, body: &Value) {
        if let Some(deadline) = body["deadlineMs"].as_u64() {
            let longest = self.clock_ms() + MAX_HOLD_MS;
            state.deadline_ms = state.deadline_ms.max(deadline.min(longest));
        }
    }

    fn start(&self, body: &Value) -> Answer {
        let mut state = self.lock();
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        let (Some(task), Some(run)) = (body["task"].as_str(), body["run"].as_u64()) else {
            return self.reply(400, json!({}));
        };
        if body["deadlineMs"].as_u64().unwrap_or(0) <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend(&mut state, body);
        if state
            .runs
            .get(task)
            .is_some_and(|present| present.run == run)
        {
            return self.reply(200, json!({}));
        }
        if state.runs.contains_key(task)
            || state.closed.get(task).is_some_and(|closed| run <= *closed)
        {
            return self.refuse("old");
        }
        let mut parts = task.split('.');
        let job = parts.next().unwrap_or_default();
        let step = parts.nth(1).and_then(|text| text.parse::<usize>().ok());
        let shape = {
            let jobs = self.jobs.lock().expect("no thread panics with the lock");
            let steps = jobs.get(job);
            steps
                .zip(step)
                .and_then(|(steps, step)| steps.get(step))
                .copied()
        };
        let Some(shape) = shape else {
            self.recorder
                .note(&format!("run {task} {run}: no client sent this task"));
            return self.reply(400, json!({}));
        };
        let (cpu, mem_mb) = state.used();
        if cpu + shape.cpu > self.cpu || mem_mb + shape.mem_mb > self.mem_mb {
            return self.refuse("room");
        }
        if shape.gang > 0 {
            let mut gangs = self.gangs.lock().expect("no thread panics with the lock");
            let gang = gangs.entry((step_of(task), run)).or_default();
            gang.present.insert(task.to_owned());
            if gang.present.len() == shape.gang {
                gang.complete_at.get_or_insert_with(Instant::now);
            }
        }
        state.runs.insert(
            task.to_owned(),
            Run {
                run,
                shape,
                time: shape.time_of(task),
                begun: Instant::now(),
                stopped: None,
            },
        );
        drop(state);
        self.recorder
            .note(&format!("run {task} {run} starts on {}", self.id));
        self.reply(200, json!({}))
    }

    fn stop(&self, body: &Value) -> Answer {
        let mut state = self.lock();
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token >= state.token {
            state.token = token;
            let (task, run) = (
                body["task"].as_str().unwrap_or_default(),
                body["run"].as_u64(),
            );
            let closed = state.closed.entry(task.to_owned()).or_default();
            *closed = run.unwrap_or(0).max(*closed);
            if let Some(present) = state.runs.get_mut(task).filter(|one| Some(one.run) == run) {
                present.stopped.get_or_insert_with(Instant::now);
            }
        }
        self.reply(200, json!({}))
    }

    fn hold(&self, body: &Value) -> Answer {
        let mut state = self.lock();
        let token = body["fencingToken"].as_u64().unwrap_or(0);
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        self.extend(&mut state, body);
        let last_seen = body["lastSeen"].as_u64().unwrap_or(0);
        state.ends.retain(|end| end.0 > last_seen);
        let wait = Duration::from_millis(body["waitMs"].as_u64().unwrap_or(0).min(2_000));
        if state.ends.is_empty() && !wait.is_zero() {
            let waited = self
                .changed
                .wait_timeout_while(state, wait, |state| state.ends.is_empty());
            state = waited.expect("no thread panics with the lock").0;
        }
        let running: Vec<Value> = state
            .runs
            .iter()
            .map(|(task, run)| {
                let percent = run.time.map_or(100, |time| {
                    let done = run.begun.elapsed().as_secs_f64() / time.as_secs_f64();
                    (done * 100.0).min(99.0) as u64
                });
                json!([task, run.run, run.checkpoint(task), percent, 0])
            })
            .collect();
        let ended: Vec<Value> = state
            .ends
            .iter()
            .take(LISTED_ENDS)
            .map(|(number, task, run, how, saved)| json!([number, task, run, how, saved]))
            .collect();
        drop(state);
        self.reply(200, json!({"running": running, "ended": ended}))
    }
}

/// Returns the step that a task belongs to.
fn step_of(task: &str) -> String {
    let step = task.rsplit_once('.').map_or(task, |(step, _)| step);
    step.to_owned()
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(0)
}
