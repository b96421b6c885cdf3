//! The workers, as far as the daemons and the rules see them.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{self, Answer, Request};
use crate::json::{Json, object};
use crate::record::Record;
use crate::store::Store;

/// The longest lease (`maxHoldMs`).
const LONGEST_LEASE_MS: u64 = 6000;
/// The time that a stop takes, which is less than `stopTimeoutMs`.
const STOP_TIME: Duration = Duration::from_millis(50);
/// The longest time for which a hold waits.
const LONGEST_WAIT_MS: u64 = 2000;
/// The number of ends that an answer lists.
const LISTED_ENDS: usize = 500;
/// The interval of registrations (`heartbeatMs`).
const HEARTBEAT: Duration = Duration::from_millis(1500);
/// The time for which a member of a gang waits for the others (`gangTimeoutMs`).
const GANG_TIMEOUT: Duration = Duration::from_secs(3);
/// The interval of checkpoints (`checkpointIntervalS`), in milliseconds.
const CHECKPOINT_MS: u128 = 500;
/// The interval at which runs are advanced.
const TICK: Duration = Duration::from_millis(5);

/// What a task of a step needs and how long it works.
#[derive(Debug, Clone, Copy, Default)]
pub struct StepWork {
    pub count: u64,
    pub cpu: u64,
    pub mem_mb: u64,
    pub work: Duration,
    pub is_gang: bool,
    pub saves: bool,
}

/// The capacity of a worker.
#[derive(Debug, Clone)]
pub struct WorkerKind {
    pub id: String,
    pub kind: String,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
}

/// A start that a worker has carried out, with the run's end.
#[derive(Debug, Clone)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub worker: usize,
    pub started: Duration,
    /// When and how it ended, if it has.
    pub ended: Option<(Duration, &'static str)>,
    /// When the system took note of the end.
    pub noted: Option<Duration>,
}

#[derive(Debug)]
struct LiveRun {
    task: String,
    run: u64,
    work: StepWork,
    started: Instant,
    /// When the run began to work: at once, or with its gang.
    at_work: Option<Instant>,
    stops_at: Option<Instant>,
    /// The index in the history.
    index: usize,
}

#[derive(Debug)]
struct Life {
    born_ms: u64,
    begun: Instant,
    token: u64,
    deadline_ms: u64,
    runs: Vec<LiveRun>,
    /// The number of each end that isn't forgotten, with the row that lists it.
    ends: BTreeMap<u64, (usize, Json)>,
    next_end: u64,
    closed: HashMap<String, u64>,
    /// Whether the lease is over, and when it last lapsed.
    has_lapsed: bool,
    lapsed_at: Option<Duration>,
}

#[derive(Debug)]
struct Worker {
    kind: WorkerKind,
    address: SocketAddr,
    life: Option<Life>,
    is_cut: bool,
    /// The number of holds received.
    holds: u64,
    /// Whether the connections of earlier lives stay open without a byte, instead of being closed.
    is_dark: bool,
}

#[derive(Debug, Default)]
struct State {
    workers: Vec<Worker>,
    jobs: HashMap<String, Vec<StepWork>>,
    history: Vec<Run>,
}

/// The workers. Clones share their state.
#[derive(Debug, Clone)]
pub struct Fleet {
    shared: Arc<(Mutex<State>, Condvar)>,
    store: Store,
    record: Record,
    service: &'static str,
}

impl Life {
    fn new() -> Self {
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            born_ms: born.as_millis() as u64,
            begun: Instant::now(),
            token: 0,
            deadline_ms: 0,
            runs: Vec::new(),
            ends: BTreeMap::new(),
            next_end: 1,
            closed: HashMap::new(),
            has_lapsed: true,
            lapsed_at: None,
        }
    }

    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    fn extend_lease(&mut self, deadline_ms: u64) {
        let longest = self.clock_ms() + LONGEST_LEASE_MS;
        self.deadline_ms = self.deadline_ms.max(deadline_ms.min(longest));
    }

    fn answer(&self, status: u16, reason: Option<&str>) -> Answer {
        let mut fields = vec![
            ("clockMs".to_owned(), self.clock_ms().into()),
            ("born".to_owned(), self.born_ms.into()),
        ];
        fields.extend(reason.map(|reason| ("reason".to_owned(), reason.into())));
        Answer::json(status, Json::Object(fields))
    }
}

impl Fleet {
    /// Starts the workers.
    pub fn start(
        kinds: Vec<WorkerKind>,
        service: &'static str,
        store: Store,
        record: Record,
    ) -> std::io::Result<Self> {
        let fleet = Self {
            shared: Arc::default(),
            store,
            record,
            service,
        };
        for (index, kind) in kinds.into_iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let address = listener.local_addr()?;
            fleet.lock().workers.push(Worker {
                kind,
                address,
                life: Some(Life::new()),
                is_cut: false,
                holds: 0,
                is_dark: false,
            });
            let own = fleet.clone();
            let opened = fleet.clone();
            http::serve_by(
                listener,
                move || opened.born_ms(index),
                move |born_ms, request| own.answer_of(index, *born_ms, &request),
            );
        }
        let own = fleet.clone();
        spawn(move || own.keep_registered());
        let own = fleet.clone();
        spawn(move || {
            loop {
                own.advance();
                sleep(TICK);
            }
        });
        Ok(fleet)
    }

    /// Tells what the tasks of a job do.
    pub fn expect_job(&self, id: &str, steps: Vec<StepWork>) {
        self.lock().jobs.insert(id.to_owned(), steps);
    }

    /// Returns all runs so far whose task's name begins with a text.
    pub fn runs(&self, prefix: &str) -> Vec<Run> {
        let state = self.lock();
        let runs = state.history.iter();
        runs.filter(|run| run.task.starts_with(prefix))
            .cloned()
            .collect()
    }

    /// Returns the processors and the memory of all workers that are up, and what all runs use of them.
    pub fn capacity(&self) -> ((u64, u64), (u64, u64)) {
        let state = self.lock();
        let up = state
            .workers
            .iter()
            .filter(|worker| worker.life.is_some() && !worker.is_cut);
        let (mut whole, mut used) = ((0, 0), (0, 0));
        for worker in up {
            whole = (whole.0 + worker.kind.cpu, whole.1 + worker.kind.mem_mb);
            for run in worker.life.iter().flat_map(|life| &life.runs) {
                used = (used.0 + run.work.cpu, used.1 + run.work.mem_mb);
            }
        }
        (whole, used)
    }

    /// Cuts a worker off from all daemons, or heals the cut.
    pub fn set_cut(&self, worker: usize, is_cut: bool) {
        self.lock().workers[worker].is_cut = is_cut;
        self.shared.1.notify_all();
    }

    /// Waits until a worker has just received a hold.
    pub fn wait_for_hold(&self, worker: usize) {
        let mut state = self.lock();
        let before = state.workers[worker].holds;
        while state.workers[worker].holds == before {
            let waited = self.shared.1.wait_timeout(state, TICK);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Crashes a worker with all that it runs and knows. A dark crash closes no connection.
    pub fn crash(&self, worker: usize, is_dark: bool) {
        let now = self.record.now();
        let mut state = self.lock();
        state.workers[worker].is_dark = is_dark;
        let life = state.workers[worker].life.take();
        for run in life.into_iter().flat_map(|life| life.runs) {
            state.history[run.index].ended = Some((now, "crashed"));
            self.record.line(format!(
                "worker {worker}: {} run {} crashed",
                run.task, run.run
            ));
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Starts a worker again under its id, which registers itself at once.
    pub fn restart(&self, worker: usize) {
        let mut state = self.lock();
        state.workers[worker].life = Some(Life::new());
        let entry = &state.workers[worker];
        let id = entry.kind.id.clone();
        let registration = entry
            .life
            .as_ref()
            .map(|life| self.registration(entry, life, 1));
        drop(state);
        if let Some(registration) = registration {
            self.store
                .publish("keyed.servers", &id, registration.to_string().as_bytes());
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes the registrations of all workers that are up at intervals.
    fn keep_registered(&self) {
        for sequence in 1_u64.. {
            let rows: Vec<(String, Json)> = {
                let state = self.lock();
                let workers = state.workers.iter();
                let rows = workers.filter_map(|worker| {
                    let life = worker.life.as_ref()?;
                    Some((
                        worker.kind.id.clone(),
                        self.registration(worker, life, sequence),
                    ))
                });
                rows.collect()
            };
            for (id, registration) in rows {
                self.store
                    .publish("keyed.servers", &id, registration.to_string().as_bytes());
            }
            sleep(HEARTBEAT);
        }
    }

    fn registration(&self, worker: &Worker, life: &Life, sequence: u64) -> Json {
        let capacity = object([
            ("cpu", worker.kind.cpu.into()),
            ("memMb", worker.kind.mem_mb.into()),
            ("gpu", 0.into()),
        ]);
        let labels = vec![
            worker.kind.kind.as_str().into(),
            worker.kind.rack.as_str().into(),
        ];
        object([
            ("service", self.service.into()),
            ("address", worker.address.to_string().as_str().into()),
            ("zone", "mvd-centro".into()),
            ("version", "v1".into()),
            ("slots", 8.into()),
            ("state", "ready".into()),
            ("coldRemainingMs", 0.into()),
            ("capacity", capacity),
            ("labels", Json::List(labels)),
            ("clockMs", life.clock_ms().into()),
            ("sequence", sequence.into()),
            ("born", life.born_ms.into()),
        ])
    }

    /// Returns when the present life of a worker began.
    fn born_ms(&self, worker: usize) -> u64 {
        let state = self.lock();
        let life = state.workers[worker].life.as_ref();
        life.map_or(0, |life| life.born_ms)
    }

    /// Answers on a connection that the life with the given birth has accepted.
    fn answer_of(&self, worker: usize, born_ms: u64, request: &Request) -> Answer {
        if self.born_ms(worker) == born_ms {
            return self.answer(worker, request);
        }
        gone(self.lock().workers[worker].is_dark)
    }

    fn answer(&self, worker: usize, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.lock();
        let entry = &mut state.workers[worker];
        let Some(life) = entry.life.as_mut() else {
            return gone(entry.is_dark);
        };
        if entry.is_cut {
            return Answer::Silence;
        }
        let expected = request.headers.get("expect-instance");
        if expected.is_some_and(|id| *id != entry.kind.id) {
            return life.answer(421, None);
        }
        let token = body.number("fencingToken").unwrap_or(0);
        if token < life.token {
            return life.answer(409, Some("fence"));
        }
        life.token = token;
        match request.path.as_str() {
            "/v1/run-start" => self.start_run(&mut state, worker, &body),
            "/v1/run-stop" => self.stop_run(&mut state, worker, &body),
            "/v1/pace" => life.answer(200, None),
            "/v1/hold" => {
                drop(state);
                self.hold(worker, &body)
            }
            _ => Answer::json(404, "{}"),
        }
    }

    fn start_run(&self, state: &mut State, worker: usize, body: &Json) -> Answer {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return Answer::json(400, "{}");
        };
        let Some(work) = work_of(&state.jobs, task) else {
            self.record
                .line(format!("worker {worker}: UNASKED start of {task}"));
            return Answer::json(400, "{}");
        };
        let index = state.history.len();
        let entry = &mut state.workers[worker];
        let Some(life) = entry.life.as_mut() else {
            return Answer::Close;
        };
        let deadline_ms = body.number("deadlineMs").unwrap_or(0);
        if deadline_ms <= life.clock_ms() {
            return life.answer(409, Some("late"));
        }
        life.extend_lease(deadline_ms);
        if life
            .runs
            .iter()
            .any(|one| one.task == task && one.run == run)
        {
            return life.answer(200, None);
        }
        if life.closed.get(task).is_some_and(|closed| run <= *closed) {
            return life.answer(409, Some("old"));
        }
        let cpu: u64 = life.runs.iter().map(|one| one.work.cpu).sum();
        let mem_mb: u64 = life.runs.iter().map(|one| one.work.mem_mb).sum();
        if cpu + work.cpu > entry.kind.cpu || mem_mb + work.mem_mb > entry.kind.mem_mb {
            return life.answer(409, Some("room"));
        }
        let now = Instant::now();
        life.runs.push(LiveRun {
            task: task.to_owned(),
            run,
            work,
            started: now,
            at_work: (!work.is_gang).then_some(now),
            stops_at: None,
            index,
        });
        let answer = life.answer(200, None);
        self.record.line(format!(
            "worker {worker}: {task} run {run} started, token {:?}",
            body.number("fencingToken")
        ));
        state.history.push(Run {
            task: task.to_owned(),
            run,
            worker,
            started: self.record.now(),
            ended: None,
            noted: None,
        });
        answer
    }

    fn stop_run(&self, state: &mut State, worker: usize, body: &Json) -> Answer {
        let (Some(task), Some(run)) = (body.text("task"), body.number("run")) else {
            return Answer::json(400, "{}");
        };
        let Some(life) = state.workers[worker].life.as_mut() else {
            return Answer::Close;
        };
        self.record
            .line(format!("worker {worker}: stop of {task} run {run}"));
        let closed = life.closed.entry(task.to_owned()).or_default();
        *closed = run.max(*closed);
        let present = life
            .runs
            .iter_mut()
            .find(|one| one.task == task && one.run == run);
        if let Some(present) = present {
            present.stops_at.get_or_insert(Instant::now() + STOP_TIME);
        }
        life.answer(200, None)
    }

    fn hold(&self, worker: usize, body: &Json) -> Answer {
        let wait = body.number("waitMs").unwrap_or(0).min(LONGEST_WAIT_MS);
        let until = Instant::now() + Duration::from_millis(wait);
        let last_seen = body.number("lastSeen").unwrap_or(0);
        let mut state = self.lock();
        state.workers[worker].holds += 1;
        let Some(life) = state.workers[worker].life.as_mut() else {
            return Answer::Close;
        };
        if let Some(deadline_ms) = body.number("deadlineMs") {
            life.extend_lease(deadline_ms);
        }
        let born_ms = life.born_ms;
        let kept = life.ends.split_off(&(last_seen + 1));
        let forgotten = std::mem::replace(&mut life.ends, kept);
        let lapsed_at = life.lapsed_at;
        for (index, _) in forgotten.into_values() {
            let run = &mut state.history[index];
            // An end doesn't count as taken note of if the lease lapsed in between.
            let is_excused = run
                .ended
                .is_some_and(|(at, _)| lapsed_at.is_some_and(|lapse| lapse >= at));
            if !is_excused {
                run.noted = Some(self.record.now());
            }
        }
        loop {
            let entry = &state.workers[worker];
            let life = entry.life.as_ref().filter(|life| life.born_ms == born_ms);
            let Some(life) = life else {
                return gone(entry.is_dark);
            };
            if entry.is_cut {
                return Answer::Silence;
            }
            let left = until.saturating_duration_since(Instant::now());
            if !life.ends.is_empty() || left.is_zero() {
                return Answer::json(200, lists(life));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    /// Ends the runs whose time has come.
    fn advance(&self) {
        let now = Instant::now();
        let mut state = self.lock();
        begin_gangs(&mut state, now);
        let done_gangs = finished_gangs(&state, now);
        let mut ended = Vec::new();
        let state = &mut *state;
        for (number, worker) in state.workers.iter_mut().enumerate() {
            let Some(life) = worker.life.as_mut() else {
                continue;
            };
            let has_lapsed = life.deadline_ms <= life.clock_ms();
            if has_lapsed && !life.has_lapsed {
                life.lapsed_at = Some(self.record.now());
                self.record
                    .line(format!("worker {number}: the lease lapses"));
            }
            life.has_lapsed = has_lapsed;
            for run in std::mem::take(&mut life.runs) {
                let Some(how) = end_of(&run, now, has_lapsed, &done_gangs) else {
                    life.runs.push(run);
                    continue;
                };
                let closed = life.closed.entry(run.task.clone()).or_default();
                *closed = run.run.max(*closed);
                let row = vec![
                    life.next_end.into(),
                    run.task.as_str().into(),
                    run.run.into(),
                    how.into(),
                    checkpoint(&run, now).as_str().into(),
                ];
                life.ends
                    .insert(life.next_end, (run.index, Json::List(row)));
                life.next_end += 1;
                ended.push((number, run, how));
            }
        }
        for (worker, run, how) in &ended {
            state.history[run.index].ended = Some((self.record.now(), how));
            self.record.line(format!(
                "worker {worker}: {} run {} ended {how}",
                run.task, run.run
            ));
        }
        if !ended.is_empty() {
            self.shared.1.notify_all();
        }
    }
}

/// Returns the answer on a connection to a life that has ended.
fn gone(is_dark: bool) -> Answer {
    if is_dark {
        Answer::Silence
    } else {
        Answer::Close
    }
}

/// Returns the name of a run's gang: the step and the number of the run.
fn gang_of(run: &LiveRun) -> (String, u64) {
    let step = run.task.rsplit_once('.').map_or("", |(step, _)| step);
    (step.to_owned(), run.run)
}

/// Lets the gangs work whose members are all present.
fn begin_gangs(state: &mut State, now: Instant) {
    let mut present: HashMap<(String, u64), u64> = HashMap::new();
    let lives = state
        .workers
        .iter()
        .filter_map(|worker| worker.life.as_ref());
    for run in lives
        .flat_map(|life| &life.runs)
        .filter(|run| run.work.is_gang)
    {
        *present.entry(gang_of(run)).or_default() += 1;
    }
    let lives = state
        .workers
        .iter_mut()
        .filter_map(|worker| worker.life.as_mut());
    for run in lives
        .flat_map(|life| &mut life.runs)
        .filter(|run| run.work.is_gang)
    {
        if present.get(&gang_of(run)) == Some(&run.work.count) {
            run.at_work.get_or_insert(now);
        }
    }
}

/// Returns the gangs that have done their work.
fn finished_gangs(state: &State, now: Instant) -> Vec<(String, u64)> {
    let lives = state
        .workers
        .iter()
        .filter_map(|worker| worker.life.as_ref());
    let gangs = lives
        .flat_map(|life| &life.runs)
        .filter(|run| run.work.is_gang);
    let done = gangs.filter(|run| {
        run.at_work
            .is_some_and(|since| now - since >= run.work.work)
    });
    done.map(gang_of).collect()
}

fn end_of(
    run: &LiveRun,
    now: Instant,
    has_lapsed: bool,
    done_gangs: &[(String, u64)],
) -> Option<&'static str> {
    if run.stops_at.is_some_and(|at| at <= now) {
        return Some("stopped");
    }
    if has_lapsed {
        return Some("lapsed");
    }
    if run.work.is_gang {
        let is_alone = run.at_work.is_none() && now - run.started >= GANG_TIMEOUT;
        let is_done = done_gangs.contains(&gang_of(run));
        return is_done.then_some("done").or(is_alone.then_some("alone"));
    }
    let since = run.at_work?;
    (now - since >= run.work.work).then_some("done")
}

fn checkpoint(run: &LiveRun, now: Instant) -> String {
    let worked = run.at_work.map_or(0, |since| (now - since).as_millis());
    let saved = worked / CHECKPOINT_MS * CHECKPOINT_MS;
    if run.work.saves && saved > 0 {
        return format!("{saved:08x}{:08x}", run.index);
    }
    String::new()
}

fn lists(life: &Life) -> Json {
    let now = Instant::now();
    let running = life.runs.iter().map(|run| {
        let worked = run.at_work.map_or(0.0, |since| (now - since).as_secs_f64());
        let percent = (worked / run.work.work.as_secs_f64() * 100.0).min(99.0);
        Json::List(vec![
            run.task.as_str().into(),
            run.run.into(),
            checkpoint(run, now).as_str().into(),
            (percent as u64).into(),
            1.into(),
        ])
    });
    let ended = life
        .ends
        .values()
        .take(LISTED_ENDS)
        .map(|(_, row)| row.clone());
    object([
        ("clockMs", life.clock_ms().into()),
        ("born", life.born_ms.into()),
        ("running", Json::List(running.collect())),
        ("ended", Json::List(ended.collect())),
    ])
}

fn work_of(jobs: &HashMap<String, Vec<StepWork>>, task: &str) -> Option<StepWork> {
    let mut parts = task.split('.');
    let steps = jobs.get(parts.next()?)?;
    let step: usize = parts.nth(1)?.parse().ok()?;
    steps.get(step).copied()
}
