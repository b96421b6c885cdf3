//! The platform's store: a log with keyed topics and groups, as the protocol page tells it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

use crate::http::{Answer, Request, serve};
use crate::record::Recorder;

/// The largest record and the largest append, as the settings name them.
pub const RECORD_BYTES: usize = 262_144;
pub const REQUEST_BYTES: usize = 2_097_152;
/// The time that a partition takes for an append.
const APPEND_TIME: Duration = Duration::from_millis(2);
/// The delay of each answer.
const ANSWER_DELAY: Duration = Duration::from_millis(2);
/// The number of appends of a producer whose repeats get their first answer again.
const REMEMBERED: usize = 5;
/// The limits of a page of the newest records.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

#[derive(Debug, Default)]
struct Partition {
    /// The records as they were appended, with the length of the key first.
    records: Vec<Arc<Vec<u8>>>,
    /// The offset of the newest record of each key.
    newest: BTreeMap<Vec<u8>, usize>,
    producers: HashMap<String, Producer>,
}

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    last: u64,
    recent: VecDeque<(u64, (usize, usize))>,
}

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, (Instant, Duration)>,
}

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Partition>,
    groups: HashMap<String, Group>,
}

/// The store. Clones share its state.
#[derive(Debug, Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Held while an append is carried out.
    turns: Arc<Mutex<HashMap<String, Arc<Mutex<()>>>>>,
    /// Whether all calls are refused.
    is_down: Arc<AtomicBool>,
    recorder: Recorder,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(recorder: Recorder) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            state: Arc::default(),
            turns: Arc::default(),
            is_down: Arc::default(),
            recorder,
            address: listener.local_addr()?,
        };
        let serving = store.clone();
        serve(listener, move |request| serving.answer(&request));
        Ok(store)
    }

    /// Appends a record of the platform.
    pub fn publish(&self, topic: &str, key: &str, value: &Value) {
        let mut content = vec![u8::try_from(key.len()).unwrap_or(0)];
        content.extend_from_slice(key.as_bytes());
        content.extend_from_slice(value.to_string().as_bytes());
        let mut state = self.lock();
        state
            .topics
            .entry(topic.to_owned())
            .or_default()
            .store(vec![content]);
        self.state.1.notify_all();
    }

    /// Makes the store refuse all calls, or ends that.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::SeqCst);
        self.recorder.note(&format!("store: down: {is_down}"));
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.0.lock().expect("no thread panics with the lock")
    }

    fn answer(&self, request: &Request) -> Answer {
        let answer = match request.path.as_str() {
            _ if self.is_down.load(Ordering::SeqCst) => Answer::json(503, &json!({})),
            "/v1/log-append" => self.append(request),
            "/v1/log-read" => self.read(request),
            "/v1/log-newest" => self.newest(request),
            "/v1/log-join" => self.join(request),
            "/v1/log-leave" => self.leave(request),
            "/v1/log-owners" => self.owners(request),
            _ => Answer::json(400, &json!({})),
        };
        thread::sleep(ANSWER_DELAY);
        answer
    }

    fn append(&self, request: &Request) -> Answer {
        let topic = request.text("topic");
        if matches!(topic, "keyed.op" | "keyed.servers") {
            return Answer::json(403, &json!({}));
        }
        let Some(records) = split_records(&request.body) else {
            return Answer::json(400, &json!({"reason": "records"}));
        };
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        if largest > RECORD_BYTES || request.body.len() > REQUEST_BYTES {
            let key = records.iter().max_by_key(|record| record.len());
            let key = key
                .map(|record| key_of(record).to_vec())
                .unwrap_or_default();
            self.recorder.note(&format!(
                "store: append to {topic} refused: largest record {largest} bytes (key {}), all {} bytes",
                String::from_utf8_lossy(&key),
                request.body.len()
            ));
            return Answer::json(400, &json!({"reason": "size"}));
        }
        let turn = {
            let mut turns = self.turns.lock().expect("no thread panics with the lock");
            Arc::clone(turns.entry(topic.to_owned()).or_default())
        };
        let _turn = turn.lock().expect("no thread panics with the lock");
        thread::sleep(APPEND_TIME);
        let mut state = self.lock();
        let partition = state.topics.entry(topic.to_owned()).or_default();
        let end = partition.records.len();
        if request.number("at").is_some_and(|at| at != end as u64) {
            return Answer::json(412, &json!({"endOffset": end}));
        }
        let name = request.text("producer").to_owned();
        let stored = if name.is_empty() {
            partition.store(records)
        } else {
            let epoch = request.number("epoch").unwrap_or(0);
            let sequence = request.number("sequence").unwrap_or(0);
            let producer = partition.producers.entry(name.clone()).or_default();
            if epoch < producer.epoch {
                return Answer::json(409, &json!({"reason": "fenced"}));
            }
            if epoch > producer.epoch {
                *producer = Producer {
                    epoch,
                    last: sequence,
                    recent: VecDeque::new(),
                };
            } else if let Some((_, first)) = producer.recent.iter().find(|one| one.0 == sequence) {
                return stored_answer(*first);
            } else if sequence != producer.last + 1 {
                let expected = producer.last + 1;
                return Answer::json(409, &json!({"reason": "seq", "expected": expected}));
            }
            producer.last = sequence;
            let stored = partition.store(records);
            if let Some(producer) = partition.producers.get_mut(&name) {
                producer.recent.push_back((sequence, stored));
                if producer.recent.len() > REMEMBERED {
                    producer.recent.pop_front();
                }
            }
            stored
        };
        if topic.ends_with("leaders") {
            self.recorder.note("store: a daemon has claimed to lead");
        }
        self.state.1.notify_all();
        stored_answer(stored)
    }

    fn read(&self, request: &Request) -> Answer {
        let from = usize::try_from(request.number("from").unwrap_or(0)).unwrap_or(0);
        let wait = Duration::from_millis(request.number("waitMs").unwrap_or(0).min(30_000));
        let limit = usize::try_from(request.number("maxKb").unwrap_or(1024)).unwrap_or(1024) * 1024;
        let until = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let partition = state
                .topics
                .entry(request.text("topic").to_owned())
                .or_default();
            let left = until.saturating_duration_since(Instant::now());
            if partition.records.len() > from || left.is_zero() {
                let mut body = (partition.records.len() as u64).to_be_bytes().to_vec();
                body.extend_from_slice(&0u64.to_be_bytes());
                for (index, record) in partition.records.iter().skip(from).enumerate() {
                    if index > 0 && body.len() + record.len() > limit {
                        break;
                    }
                    let length = u32::try_from(record.len()).unwrap_or(0);
                    body.extend_from_slice(&length.to_be_bytes());
                    body.extend_from_slice(record);
                }
                return Answer { status: 200, body };
            }
            let waited = self.state.1.wait_timeout(state, left);
            state = waited.expect("no thread panics with the lock").0;
        }
    }

    fn newest(&self, request: &Request) -> Answer {
        let mut state = self.lock();
        let partition = state
            .topics
            .entry(request.text("topic").to_owned())
            .or_default();
        let after = request.text("after").as_bytes();
        let keys = partition.newest.iter();
        let mut keys = keys.filter(|(key, _)| after.is_empty() || key.as_slice() > after);
        let (mut items, mut size) = (Vec::new(), 0);
        let mut has_more = false;
        for (key, offset) in keys.by_ref() {
            let value = value_of(&partition.records[*offset]);
            if items.len() == PAGE_RECORDS || (!items.is_empty() && size + value.len() > PAGE_BYTES)
            {
                has_more = true;
                break;
            }
            size += value.len();
            let key = String::from_utf8_lossy(key);
            items.push(json!({"key": key, "value": STANDARD.encode(value), "offset": offset}));
        }
        let end = partition.records.len();
        Answer::json(
            200,
            &json!({"items": items, "hasMore": has_more, "endOffset": end}),
        )
    }

    fn join(&self, request: &Request) -> Answer {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let (group, member) = (text(&body, "group"), text(&body, "member"));
        let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1000));
        let mut state = self.lock();
        let group = state.groups.entry(group).or_default();
        group.expire();
        if group
            .members
            .insert(member, (Instant::now(), ttl))
            .is_none()
        {
            group.generation += 1;
        }
        Answer::json(200, &json!({"generation": group.generation, "parts": []}))
    }

    fn leave(&self, request: &Request) -> Answer {
        let body: Value = serde_json::from_slice(&request.body).unwrap_or_default();
        let mut state = self.lock();
        let group = state.groups.entry(text(&body, "group")).or_default();
        if group.members.remove(&text(&body, "member")).is_some() {
            group.generation += 1;
        }
        Answer::json(200, &json!({}))
    }

    fn owners(&self, request: &Request) -> Answer {
        let name = request.text("group").to_owned();
        let mut state = self.lock();
        let group = state.groups.entry(name.clone()).or_default();
        group.expire();
        let members: Vec<&String> = group.members.keys().collect();
        let parts = members
            .iter()
            .enumerate()
            .map(|(part, member)| json!([name, part, member, 0]));
        Answer::json(200, &json!({"parts": parts.collect::<Vec<_>>()}))
    }
}

impl Partition {
    /// Appends records, and returns the first offset and the end.
    fn store(&mut self, records: Vec<Vec<u8>>) -> (usize, usize) {
        let first = self.records.len();
        for record in records {
            let key = key_of(&record).to_vec();
            if value_of(&record).is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key, self.records.len());
            }
            self.records.push(Arc::new(record));
        }
        (first, self.records.len())
    }
}

impl Group {
    fn expire(&mut self) {
        let before = self.members.len();
        self.members
            .retain(|_, (joined, ttl)| joined.elapsed() < *ttl);
        self.generation += u64::from(self.members.len() < before);
    }
}

fn stored_answer((first, end): (usize, usize)) -> Answer {
    Answer::json(200, &json!({"offset": first, "endOffset": end}))
}

fn split_records(mut body: &[u8]) -> Option<Vec<Vec<u8>>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let length = usize::try_from(u32::from_be_bytes(*length)).ok()?;
        if length == 0 || rest.len() < length {
            return None;
        }
        let (content, rest) = rest.split_at(length);
        if content.len() <= usize::from(content[0]) {
            return None;
        }
        records.push(content.to_vec());
        body = rest;
    }
    Some(records)
}

fn key_of(record: &[u8]) -> &[u8] {
    &record[1..=usize::from(record[0])]
}

fn value_of(record: &[u8]) -> &[u8] {
    &record[1 + usize::from(record[0])..]
}

fn text(body: &Value, name: &str) -> String {
    body[name].as_str().unwrap_or_default().to_owned()
}
