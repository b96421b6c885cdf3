//! The interface to the platform's store, which keeps all persistent state in topics.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::{self, Debug, Display, Formatter};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_model::prelude::LogOffset;
use smol_str::SmolStr;
use tokio::time::{Instant, sleep};

/// The name of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TopicName(pub &'static str);

impl Display for TopicName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// A record with a key. The store keeps the newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: SmolStr,
    /// The value; an empty one deletes the key.
    pub value: Bytes,
}

impl KeyedRecord {
    /// Creates the record that deletes a key.
    pub fn deletion(key: SmolStr) -> Self {
        let value = Bytes::new();
        Self { key, value }
    }
}

/// The condition under which an append takes effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendCondition {
    /// Always.
    None,
    /// If the topic ends at this offset.
    EndsAt(LogOffset),
    /// If no writer with a higher epoch has appended, and at most once for each sequence number.
    Writer(WriterMark),
}

/// Identifies an append, so that the store ignores its repeats, and rejects it once a writer with a
/// higher epoch has appended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriterMark {
    /// The name shared by all writers that succeed each other.
    pub producer: &'static str,
    /// The fencing token of the writer, which rises with each successor.
    pub epoch: u64,
    /// The number of the append, which rises with each append of the writer.
    pub sequence: u64,
}

/// A page of the newest records of all keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, with the offset of each.
    pub records: Vec<(LogOffset, KeyedRecord)>,
    /// The offset at which the topic ended when the page was read.
    pub end: LogOffset,
    /// Whether more records follow the last one.
    pub has_more: bool,
}

/// Records in the order in which they were appended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReadBatch {
    /// The records.
    pub records: Vec<KeyedRecord>,
    /// The offset of the next record to read.
    pub next: LogOffset,
}

/// The reason why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// The call had no effect; the store refuses calls for now.
    Refused,
    /// There is no answer: the call may have taken effect, or may still do so.
    Unanswered,
    /// The topic ends at another offset.
    EndMoved(LogOffset),
    /// A writer with a higher epoch has appended.
    Fenced,
    /// The writer's sequence number is not the expected one.
    OutOfSequence,
    /// The records before this offset have been deleted.
    Expired(LogOffset),
    /// The store shows the topic only up to this offset, although it has later records.
    Outdated(LogOffset),
    /// The answer can't be parsed, or the store rejects the call permanently.
    Invalid(SmolStr),
}

impl Display for StoreError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("the store refuses calls"),
            Self::Unanswered => f.write_str("the store gave no answer"),
            Self::EndMoved(end) => write!(f, "the topic ends at another offset: {end}"),
            Self::Fenced => f.write_str("a writer with a higher epoch has appended"),
            Self::OutOfSequence => f.write_str("the sequence number is not the expected one"),
            Self::Expired(first) => write!(f, "records before offset {first} are deleted"),
            Self::Outdated(end) => write!(f, "the topic is only shown up to offset {end}"),
            Self::Invalid(reason) => write!(f, "the call to the store failed: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// A client of the store.
///
/// Topics have one partition. Futures are `Send`, so that calls can run in spawned tasks.
pub trait StoreClient: Debug + Clone + Send + Sync + 'static {
    /// Appends records and returns the offset after the last one.
    ///
    /// # Errors
    ///
    /// Returns why the append had no effect, or [`StoreError::Unanswered`] if it may have taken
    /// effect.
    fn append(
        &self,
        topic: TopicName,
        records: Vec<KeyedRecord>,
        condition: AppendCondition,
        timeout: Duration,
    ) -> impl Future<Output = Result<LogOffset, StoreError>> + Send;

    /// Reads a page of the newest records of all keys, starting after the given key.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn newest(
        &self,
        topic: TopicName,
        after: Option<SmolStr>,
        timeout: Duration,
    ) -> impl Future<Output = Result<NewestPage, StoreError>> + Send;

    /// Reads the records from an offset on, and waits for one if there is none yet.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn read(
        &self,
        topic: TopicName,
        from: LogOffset,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadBatch, StoreError>> + Send;

    /// Joins the group of a topic, or renews the membership, which expires after its lifetime.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn join(
        &self,
        topic: TopicName,
        member: SmolStr,
        lifetime: Duration,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Leaves the group of a topic.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn leave(
        &self,
        topic: TopicName,
        member: SmolStr,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Returns the members of a topic's group.
    ///
    /// # Errors
    ///
    /// Returns why there is no usable answer.
    fn members(
        &self,
        topic: TopicName,
    ) -> impl Future<Output = Result<Vec<SmolStr>, StoreError>> + Send;
}

/// Estimates the response time of the store from recent calls, and derives a timeout from it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseTime {
    estimate: Duration,
}

impl ResponseTime {
    /// The estimate before the first call.
    const INITIAL: Duration = Duration::from_millis(100);
    /// The multiple of the estimate after which an answer counts as lost.
    const TIMEOUT_FACTOR: u32 = 4;
    /// The shortest time after which an answer counts as lost.
    const MIN_TIMEOUT: Duration = Duration::from_millis(500);
    /// The longest time after which an answer counts as lost.
    const MAX_TIMEOUT: Duration = Duration::from_secs(2);

    /// Returns the time after which an answer counts as lost.
    pub fn timeout(&self) -> Duration {
        (self.estimate * Self::TIMEOUT_FACTOR).clamp(Self::MIN_TIMEOUT, Self::MAX_TIMEOUT)
    }

    /// Updates the estimate with the outcome and duration of a call.
    pub fn record_call<T>(&mut self, answer: &Result<T, StoreError>, taken: Duration) {
        self.estimate = match answer {
            Err(StoreError::Unanswered) => (self.estimate * 3 / 2).min(Self::MAX_TIMEOUT),
            Err(StoreError::Refused) => self.estimate,
            _ => (self.estimate * 3 + taken) / 4,
        };
    }
}

impl Default for ResponseTime {
    fn default() -> Self {
        Self {
            estimate: Self::INITIAL,
        }
    }
}

/// The timeout for a page of many records, which a slow store has to meet as well.
const PAGE_TIMEOUT: Duration = Duration::from_secs(4);

/// The duration up to which a failed read of a page is repeated. One that took longer has used up the
/// time in which another node could read the pages instead.
const PAGE_RETRY_LIMIT: Duration = Duration::from_millis(500);
/// The delay before a failed read of a page is repeated.
const PAGE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The time for which a read waits for a record that the store doesn't show yet.
const CATCH_UP_WAIT: Duration = Duration::from_millis(500);
/// The time after which a topic is given up whose known records the store doesn't show.
const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(4);

/// Reads the newest records of all keys, page by page, and the offset from which to read on.
///
/// # Errors
///
/// Returns why a page could not be read.
pub async fn read_newest<S: StoreClient>(
    store: &S,
    topic: TopicName,
) -> Result<(Vec<KeyedRecord>, LogOffset), StoreError> {
    read_pages(|after| store.newest(topic, after, PAGE_TIMEOUT)).await
}

/// Reads the newest records of all keys of a topic that ends at a known offset or later, and the offset
/// from which to read on.
///
/// The pages may be outdated. The records that they lack are read in their order.
///
/// # Errors
///
/// Returns why the records could not be read, or [`StoreError::Outdated`] if the store doesn't show
/// them in time.
pub async fn read_newest_up_to<S: StoreClient>(
    store: &S,
    topic: TopicName,
    known_end: LogOffset,
) -> Result<(Vec<KeyedRecord>, LogOffset), StoreError> {
    let (records, next) = read_newest(store, topic).await?;
    if next >= known_end {
        return Ok((records, next));
    }
    let caught_up = catch_up(store, topic, records, next, |_, next| next >= known_end).await?;
    if !caught_up.is_complete {
        return Err(StoreError::Outdated(caught_up.next));
    }
    Ok((caught_up.records, caught_up.next))
}

/// Reads on from an offset until there are records of all given keys, or the store has not shown them
/// in time.
///
/// # Errors
///
/// Returns why the records could not be read.
pub async fn read_missing<S: StoreClient>(
    store: &S,
    topic: TopicName,
    records: Vec<KeyedRecord>,
    next: LogOffset,
    mut keys: BTreeSet<SmolStr>,
) -> Result<(Vec<KeyedRecord>, LogOffset), StoreError> {
    for record in &records {
        keys.remove(&record.key);
    }
    if keys.is_empty() {
        return Ok((records, next));
    }
    let has_all = |newest: &BTreeMap<SmolStr, KeyedRecord>, _| {
        keys.iter().all(|key| newest.contains_key(key))
    };
    let caught_up = catch_up(store, topic, records, next, has_all).await?;
    if !caught_up.is_complete {
        log::error!(topic:% = topic, shown_end:% = caught_up.next; "store does not show records that it must have");
    }
    Ok((caught_up.records, caught_up.next))
}

/// The newest records of each key up to an offset.
#[derive(Debug)]
struct CaughtUp {
    records: Vec<KeyedRecord>,
    next: LogOffset,
    is_complete: bool,
}

/// Adds the records from an offset on to the newest ones of each key until they are complete, or the
/// time is up.
async fn catch_up<S: StoreClient>(
    store: &S,
    topic: TopicName,
    records: Vec<KeyedRecord>,
    mut next: LogOffset,
    is_complete: impl Fn(&BTreeMap<SmolStr, KeyedRecord>, LogOffset) -> bool,
) -> Result<CaughtUp, StoreError> {
    let with_key = |record: KeyedRecord| (record.key.clone(), record);
    let mut newest: BTreeMap<SmolStr, KeyedRecord> = records.into_iter().map(with_key).collect();
    let deadline = Instant::now() + CATCH_UP_TIMEOUT;
    log::warn!(topic:% = topic, shown_end:% = next; "store shows an outdated topic; reading on");
    while !is_complete(&newest, next) && Instant::now() < deadline {
        let batch = store.read(topic, next, CATCH_UP_WAIT).await?;
        next = batch.next;
        newest.extend(batch.records.into_iter().map(with_key));
    }
    let is_complete = is_complete(&newest, next);
    newest.retain(|_, record| !record.value.is_empty());
    Ok(CaughtUp {
        records: newest.into_values().collect(),
        next,
        is_complete,
    })
}

/// Reads pages of the newest records until there are no more, and the offset from which to read on.
///
/// `read_page` reads the page that starts after a key. A page that can't be read is read once more,
/// instead of all pages from the first one on.
///
/// # Errors
///
/// Returns why a page could not be read.
pub async fn read_pages<R, F>(mut read_page: R) -> Result<(Vec<KeyedRecord>, LogOffset), StoreError>
where
    R: FnMut(Option<SmolStr>) -> F,
    F: Future<Output = Result<NewestPage, StoreError>>,
{
    let mut records = Vec::new();
    let mut after = None;
    let mut last_keys = BTreeSet::new();
    let mut end = None;
    loop {
        let page = read_page_twice(&mut read_page, after.take()).await?;
        // The pages aren't one snapshot, and a later page may show an earlier state. Reading on from the
        // lowest end misses no record.
        let lowest_end = end.map_or(page.end, |end: LogOffset| end.min(page.end));
        end = Some(lowest_end);
        after = page.records.last().map(|(_, record)| record.key.clone());
        records.extend(page.records.into_iter().map(|(_, record)| record));
        let Some(last) = after.clone().filter(|_| page.has_more) else {
            return Ok((records, lowest_end));
        };
        let is_own = last.is_ascii();
        if last_keys.insert(last) {
            continue;
        }
        if is_own {
            let reason = SmolStr::new_static("the pages of records don't advance");
            return Err(StoreError::Invalid(reason));
        }
        // A key that isn't UTF-8 changes when it is decoded, so no page can start after it. All keys of
        // workers and of the scheduler are ASCII and come before.
        log::warn!(after:? = after; "the remaining records have invalid keys; ignoring them");
        return Ok((records, lowest_end));
    }
}

/// Reads a page, and once more if that soon fails for a reason that may pass.
async fn read_page_twice<R, F>(
    read_page: &mut R,
    after: Option<SmolStr>,
) -> Result<NewestPage, StoreError>
where
    R: FnMut(Option<SmolStr>) -> F,
    F: Future<Output = Result<NewestPage, StoreError>>,
{
    let begun = Instant::now();
    let error = match read_page(after.clone()).await {
        Ok(page) => return Ok(page),
        Err(error) => error,
    };
    let may_pass = matches!(error, StoreError::Refused | StoreError::Unanswered);
    if !may_pass || begun.elapsed() >= PAGE_RETRY_LIMIT {
        return Err(error);
    }
    log::info!(after:? = after, error:% = error; "could not read a page of records; reading it once more");
    sleep(PAGE_RETRY_DELAY).await;
    read_page(after).await
}
