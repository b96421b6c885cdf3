//! The platform's store, as far as the daemons use it.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{Json, object};

/// The time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// The time of an append (`appendMs`).
const APPEND_TIME: Duration = Duration::from_millis(2);
/// The largest record (`recordBytes`).
const RECORD_BYTES: usize = 262_144;
/// The largest call (`requestBytes`).
const REQUEST_BYTES: usize = 2_097_152;
/// The largest number of items of a page, and their size.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
/// The number of appends of a producer whose repeats get their first answer again.
const REMEMBERED: usize = 5;

#[derive(Debug, Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, usize>,
    producers: HashMap<String, Producer>,
}

#[derive(Debug, Default)]
struct Producer {
    epoch: u64,
    sequence: u64,
    recent: VecDeque<(u64, String)>,
}

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    members: BTreeMap<String, Instant>,
}

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
    is_down: bool,
    /// The daemon that last wrote under a condition.
    last_writer: Option<usize>,
}

/// The store. Clones share its state.
#[derive(Debug, Clone, Default)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    /// Listens for one daemon at a port of its own, so that its calls are known.
    pub fn listen(&self, daemon: usize) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        http::serve(listener, move |request| store.answer(daemon, &request));
        Ok(address)
    }

    /// Takes the store down, or up again. While it is down, it closes each connection
    /// without an answer.
    pub fn set_down(&self, is_down: bool) {
        self.lock().is_down = is_down;
        self.shared.1.notify_all();
    }

    /// Returns the daemon that last wrote under a condition.
    pub fn last_writer(&self) -> Option<usize> {
        self.lock().last_writer
    }

    /// Appends a record of the platform itself.
    pub fn publish(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.store(vec![(key.to_owned(), value.to_vec())]);
        drop(state);
        self.shared.1.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, daemon: usize, request: &Request) -> Answer {
        sleep(ANSWER_TIME);
        if self.lock().is_down {
            return Answer::Close;
        }
        match request.path.as_str() {
            "/v1/log-append" => self.append(daemon, request),
            "/v1/log-read" => self.read(request),
            "/v1/log-newest" => self.newest(request),
            "/v1/log-join" => self.join(request),
            "/v1/log-leave" => self.leave(request),
            "/v1/log-owners" => self.owners(request),
            _ => Answer::json(404, "{}"),
        }
    }

    fn append(&self, daemon: usize, request: &Request) -> Answer {
        let name = text(request, "topic");
        if name == "keyed.op" || name == "keyed.servers" {
            return Answer::json(403, "{}");
        }
        let Some(records) = decode_records(&request.body) else {
            return Answer::json(400, "{}");
        };
        let largest = records
            .iter()
            .map(|(key, value)| 1 + key.len() + value.len());
        let is_too_large = largest.max().unwrap_or(0) > RECORD_BYTES;
        if is_too_large || request.body.len() > REQUEST_BYTES {
            return Answer::json(413, "{}");
        }
        sleep(APPEND_TIME);
        let mut state = self.lock();
        let topic = state.topics.entry(name).or_default();
        if let Some(at) = number(request, "at")
            && at != topic.records.len() as u64
        {
            return Answer::json(412, object([("endOffset", topic.end())]));
        }
        let is_conditional = request.query.contains_key("at");
        let answer = match request.query.get("producer") {
            None => topic.store(records),
            Some(producer) => {
                let epoch = number(request, "epoch").unwrap_or(0);
                let sequence = number(request, "sequence").unwrap_or(0);
                match topic.store_once(producer, epoch, sequence, records) {
                    Ok(answer) => answer,
                    Err(rejection) => return rejection,
                }
            }
        };
        if is_conditional || request.query.contains_key("producer") {
            state.last_writer = Some(daemon);
        }
        drop(state);
        self.shared.1.notify_all();
        Answer::json(200, answer)
    }

    fn read(&self, request: &Request) -> Answer {
        let name = text(request, "topic");
        let from = number(request, "from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number(request, "waitMs").unwrap_or(0));
        let limit = number(request, "maxKb").unwrap_or(1024) as usize * 1024;
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            if state.is_down {
                return Answer::Close;
            }
            let end = state
                .topics
                .get(&name)
                .map_or(0, |topic| topic.records.len());
            let left = deadline.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let mut body = Vec::new();
        let none = Topic::default();
        let topic = state.topics.get(&name).unwrap_or(&none);
        body.extend((topic.records.len() as u64).to_be_bytes());
        body.extend(0_u64.to_be_bytes());
        for (index, (key, value)) in topic.records.iter().skip(from).enumerate() {
            let length = 1 + key.len() + value.len();
            if index > 0 && body.len() + length > limit {
                break;
            }
            body.extend((length as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend(key.as_bytes());
            body.extend(value);
        }
        Answer::Reply(200, body)
    }

    fn newest(&self, request: &Request) -> Answer {
        let after = request.query.get("after").cloned().unwrap_or_default();
        let state = self.lock();
        let none = Topic::default();
        let topic = state.topics.get(&text(request, "topic")).unwrap_or(&none);
        let mut items = Vec::new();
        let mut size = 0;
        let mut has_more = false;
        for (key, offset) in topic.newest.iter().filter(|(key, _)| **key > after) {
            let value = &topic.records[*offset].1;
            size += value.len();
            if items.len() == PAGE_ITEMS || (size > PAGE_BYTES && !items.is_empty()) {
                has_more = true;
                break;
            }
            items.push(object([
                ("key", key.as_str().into()),
                ("value", Json::Text(encode_base64(value))),
                ("offset", (*offset as u64).into()),
            ]));
        }
        let page = object([
            ("items", Json::List(items)),
            ("hasMore", Json::Bool(has_more)),
            ("endOffset", topic.end()),
        ]);
        Answer::json(200, page)
    }

    fn join(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let (Some(group), Some(member)) = (body.text("group"), body.text("member")) else {
            return Answer::json(400, "{}");
        };
        let lifetime = Duration::from_millis(body.number("ttlMs").unwrap_or(1000).max(1000));
        let mut state = self.lock();
        let entry = state.groups.entry(group.to_owned()).or_default();
        entry.expire();
        let until = Instant::now() + lifetime;
        if entry.members.insert(member.to_owned(), until).is_none() {
            entry.generation += 1;
        }
        let is_owner = entry
            .members
            .keys()
            .next()
            .is_some_and(|first| first == member);
        let own = Json::List(vec![group.into(), 0.into(), 0.into()]);
        let parts = if is_owner { vec![own] } else { Vec::new() };
        let answer = object([
            ("generation", entry.generation.into()),
            ("ttlMs", (lifetime.as_millis() as u64).into()),
            ("parts", Json::List(parts)),
        ]);
        Answer::json(200, answer)
    }

    fn leave(&self, request: &Request) -> Answer {
        let body = Json::parse(&request.body).unwrap_or(Json::Null);
        let mut state = self.lock();
        if let (Some(group), Some(member)) = (body.text("group"), body.text("member"))
            && let Some(entry) = state.groups.get_mut(group)
            && entry.members.remove(member).is_some()
        {
            entry.generation += 1;
        }
        Answer::json(200, "{}")
    }

    fn owners(&self, request: &Request) -> Answer {
        let group = text(request, "group");
        let mut state = self.lock();
        let entry = state.groups.entry(group.clone()).or_default();
        entry.expire();
        // The topic has one partition, which the first member owns.
        let rows = entry.members.keys().take(1).map(|member| {
            let row = [
                group.as_str().into(),
                0.into(),
                member.as_str().into(),
                0.into(),
            ];
            Json::List(row.into())
        });
        Answer::json(200, object([("parts", Json::List(rows.collect()))]))
    }
}

impl Topic {
    fn end(&self) -> Json {
        (self.records.len() as u64).into()
    }

    fn store(&mut self, records: Vec<(String, Vec<u8>)>) -> String {
        let first = self.records.len() as u64;
        for (key, value) in records {
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key.clone(), self.records.len());
            }
            self.records.push((key, value));
        }
        object([("offset", first.into()), ("endOffset", self.end())]).to_string()
    }

    /// Stores records of a producer, unless its epoch is outdated or the append is a repeat.
    fn store_once(
        &mut self,
        name: &str,
        epoch: u64,
        sequence: u64,
        records: Vec<(String, Vec<u8>)>,
    ) -> Result<String, Answer> {
        let mut producer = self.producers.remove(name).unwrap_or_default();
        let outcome = if epoch < producer.epoch {
            Err(Answer::json(409, r#"{"reason":"fenced"}"#))
        } else if epoch > producer.epoch {
            producer = Producer {
                epoch,
                sequence,
                recent: VecDeque::new(),
            };
            Ok(self.store(records))
        } else if let Some((_, first)) = producer.recent.iter().find(|one| one.0 == sequence) {
            let first = first.clone();
            self.producers.insert(name.to_owned(), producer);
            return Ok(first);
        } else if sequence != producer.sequence + 1 {
            let expected = (producer.sequence + 1).into();
            let body = object([("reason", "seq".into()), ("sequence", expected)]);
            Err(Answer::json(409, body))
        } else {
            producer.sequence = sequence;
            Ok(self.store(records))
        };
        if let Ok(answer) = &outcome {
            producer.recent.push_back((sequence, answer.clone()));
            if producer.recent.len() > REMEMBERED {
                producer.recent.pop_front();
            }
        }
        self.producers.insert(name.to_owned(), producer);
        outcome
    }
}

impl Group {
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, until| *until > now);
        self.generation += (before - self.members.len()) as u64;
    }
}

fn text(request: &Request, name: &str) -> String {
    request.query.get(name).cloned().unwrap_or_default()
}

fn number(request: &Request, name: &str) -> Option<u64> {
    request.query.get(name)?.parse().ok()
}

fn decode_records(mut body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        let content = body.get(4..4 + length)?;
        let key_length = usize::from(*content.first()?);
        let key = content.get(1..=key_length)?;
        let value = content[1 + key_length..].to_vec();
        records.push((String::from_utf8_lossy(key).into_owned(), value));
        body = &body[4 + length..];
    }
    Some(records)
}

fn encode_base64(bytes: &[u8]) -> String {
    const SYMBOLS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 4];
        group[1..=chunk.len()].copy_from_slice(chunk);
        let number = u32::from_be_bytes(group);
        for index in 0..4 {
            let symbol = SYMBOLS[(number >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= chunk.len() {
                symbol as char
            } else {
                '='
            });
        }
    }
    text
}
