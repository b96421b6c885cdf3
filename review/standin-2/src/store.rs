//! The platform's store: keyed topics of one partition, and groups.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::TcpListener;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Answer, Call, serve};
use crate::json::{Json, base64, quote};
use crate::record::Record;

/// The time that a partition takes for an append.
const APPEND_TIME: Duration = Duration::from_millis(2);
/// The time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(2);
/// The largest record, in bytes (`recordBytes` of the settings).
const RECORD_BYTES: usize = 262_144;
/// The largest append, in bytes (`requestBytes` of the settings).
const REQUEST_BYTES: usize = 2_097_152;
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
const REMEMBERED_APPENDS: usize = 5;

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
    appends: VecDeque<(u64, usize, usize)>,
}

#[derive(Debug, Default)]
struct Group {
    generation: u64,
    /// The members, with the times at which their memberships end.
    members: BTreeMap<String, Instant>,
}

#[derive(Debug, Default)]
struct State {
    topics: HashMap<String, Topic>,
    groups: HashMap<String, Group>,
}

/// The store.
#[derive(Debug)]
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl Store {
    /// Serves the store on a listener.
    pub fn start(listener: TcpListener, record: Arc<Record>) -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            record,
        });
        let served = Arc::clone(&store);
        serve(listener, move |call| {
            sleep(ANSWER_TIME);
            served.answer(&call)
        });
        store
    }

    /// Writes a record of the operator or of a runner.
    pub fn publish(&self, topic: &str, key: &str, value: &str) {
        let mut state = self.lock();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.append(vec![(key.to_owned(), value.as_bytes().to_vec())]);
        self.changed.notify_all();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, call: &Call) -> Answer {
        match call.path.as_str() {
            "/v1/log-append" => self.append(call),
            "/v1/log-read" => self.read(call),
            "/v1/log-newest" => self.newest(call),
            "/v1/log-join" => self.join(call),
            "/v1/log-leave" => self.leave(call),
            "/v1/log-owners" => self.owners(call),
            _ => Answer::json(404, "{}".to_owned()),
        }
    }

    fn append(&self, call: &Call) -> Answer {
        let name = call.parameter("topic").unwrap_or_default();
        let Some(records) = decode_records(&call.body) else {
            let longest = call.body.len();
            self.record.line(&format!(
                "store: append of {longest} bytes to {name} breaks recordBytes or requestBytes -> 400"
            ));
            return Answer::json(400, "{}".to_owned());
        };
        let mut state = self.lock();
        sleep(APPEND_TIME);
        let topic = state.topics.entry(name).or_default();
        let end = topic.records.len();
        if call.number("at").is_some_and(|at| at != end as u64) {
            return Answer::json(412, format!("{{\"endOffset\":{end}}}"));
        }
        let count = records.len();
        if let Some(name) = call.parameter("producer") {
            let epoch = call.number("epoch").unwrap_or(0);
            let sequence = call.number("sequence").unwrap_or(0);
            let producer = topic.producers.entry(name).or_default();
            if epoch < producer.epoch {
                return Answer::json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            let is_first = epoch > producer.epoch || producer.appends.is_empty();
            if is_first {
                producer.appends.clear();
                producer.epoch = epoch;
            }
            let repeated = producer.appends.iter().find(|(one, ..)| *one == sequence);
            if let Some((_, offset, end)) = repeated {
                return appended(*offset, *end);
            }
            if !is_first && sequence != producer.sequence + 1 {
                let expected = producer.sequence + 1;
                let body = format!("{{\"reason\":\"seq\",\"sequence\":{expected}}}");
                return Answer::json(409, body);
            }
            producer.sequence = sequence;
            producer.appends.push_back((sequence, end, end + count));
            if producer.appends.len() > REMEMBERED_APPENDS {
                producer.appends.pop_front();
            }
        }
        topic.append(records);
        self.changed.notify_all();
        appended(end, end + count)
    }

    fn read(&self, call: &Call) -> Answer {
        let name = call.parameter("topic").unwrap_or_default();
        let from = call.number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(call.number("waitMs").unwrap_or(0));
        let limit = call.number("maxKb").unwrap_or(1024) as usize * 1024;
        let deadline = Instant::now() + wait;
        let mut state = self.lock();
        loop {
            let end = state.topics.get(&name).map_or(0, |one| one.records.len());
            let left = deadline.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            let waited = self.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
        let records = state.topics.get(&name).map_or(&[][..], |one| &one.records);
        let mut body = Vec::new();
        body.extend_from_slice(&(records.len() as u64).to_be_bytes());
        body.extend_from_slice(&0u64.to_be_bytes());
        for (index, (key, value)) in records.iter().skip(from).enumerate() {
            let length = 1 + key.len() + value.len();
            if index > 0 && body.len() + length > limit {
                break;
            }
            body.extend_from_slice(&(length as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        Answer { status: 200, body }
    }

    fn newest(&self, call: &Call) -> Answer {
        let name = call.parameter("topic").unwrap_or_default();
        let after = call.parameter("after").unwrap_or_default();
        let state = self.lock();
        let empty = Topic::default();
        let topic = state.topics.get(&name).unwrap_or(&empty);
        let mut items = Vec::new();
        let mut size = 0;
        let mut has_more = false;
        for (key, offset) in topic.newest.iter().filter(|(key, _)| **key > after) {
            let value = &topic.records[*offset].1;
            size += value.len();
            if items.len() == PAGE_RECORDS || (size > PAGE_BYTES && !items.is_empty()) {
                has_more = true;
                break;
            }
            let (key, value) = (quote(key), base64(value));
            items.push(format!(
                "{{\"key\":{key},\"value\":\"{value}\",\"offset\":{offset}}}"
            ));
        }
        let (items, end) = (items.join(","), topic.records.len());
        let body = format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"endOffset\":{end}}}");
        Answer::json(200, body)
    }

    fn join(&self, call: &Call) -> Answer {
        let join = Json::read(&call.body).unwrap_or(Json::Null);
        let name = join.get("group").text().unwrap_or_default().to_owned();
        let member = join.get("member").text().unwrap_or_default().to_owned();
        let lifetime = Duration::from_millis(join.get("ttlMs").whole().unwrap_or(1000));
        let mut state = self.lock();
        let group = state.groups.entry(name).or_default();
        group.expire();
        let ends = Instant::now() + lifetime;
        if group.members.insert(member, ends).is_none() {
            group.generation += 1;
        }
        let generation = group.generation;
        let body = format!("{{\"generation\":{generation},\"parts\":[]}}");
        Answer::json(200, body)
    }

    fn leave(&self, call: &Call) -> Answer {
        let leave = Json::read(&call.body).unwrap_or(Json::Null);
        let name = leave.get("group").text().unwrap_or_default().to_owned();
        let member = leave.get("member").text().unwrap_or_default();
        let mut state = self.lock();
        let group = state.groups.entry(name).or_default();
        if group.members.remove(member).is_some() {
            group.generation += 1;
        }
        Answer::json(200, "{}".to_owned())
    }

    fn owners(&self, call: &Call) -> Answer {
        let name = call.parameter("group").unwrap_or_default();
        let mut state = self.lock();
        let group = state.groups.entry(name.clone()).or_default();
        group.expire();
        let members = group.members.keys().enumerate();
        let rows: Vec<String> = members
            .map(|(part, member)| format!("[{},{part},{},0]", quote(&name), quote(member)))
            .collect();
        Answer::json(200, format!("{{\"parts\":[{}]}}", rows.join(",")))
    }
}

impl Topic {
    fn append(&mut self, records: Vec<(String, Vec<u8>)>) {
        for (key, value) in records {
            let offset = self.records.len();
            if value.is_empty() {
                self.newest.remove(&key);
            } else {
                self.newest.insert(key.clone(), offset);
            }
            self.records.push((key, value));
        }
    }
}

impl Group {
    fn expire(&mut self) {
        let now = Instant::now();
        let before = self.members.len();
        self.members.retain(|_, ends| *ends > now);
        self.generation += u64::from(self.members.len() < before);
    }
}

fn appended(offset: usize, end: usize) -> Answer {
    Answer::json(200, format!("{{\"offset\":{offset},\"endOffset\":{end}}}"))
}

/// Decodes the records of an append. Returns nothing if one or all together are too large.
fn decode_records(mut body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    if body.len() > REQUEST_BYTES {
        return None;
    }
    let mut records = Vec::new();
    while !body.is_empty() {
        let (length, rest) = body.split_first_chunk::<4>()?;
        let length = u32::from_be_bytes(*length) as usize;
        if length > RECORD_BYTES || rest.len() < length {
            return None;
        }
        let (content, rest) = rest.split_at(length);
        let (key_length, content) = content.split_first()?;
        let (key, value) = content.split_at_checked(usize::from(*key_length))?;
        records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
        body = rest;
    }
    Some(records)
}
