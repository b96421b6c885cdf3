//! The store in which everything lasts.

use std::fmt::{self, Debug, Display, Formatter};
use std::time::Duration;

use bytes::Bytes;
use geraniumshed_model::prelude::LogOffset;
use smol_str::SmolStr;

/// The name of a topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TopicName(pub &'static str);

impl Display for TopicName {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(self.0)
    }
}

/// A record with a key; the newest record of each key is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyedRecord {
    /// The key.
    pub key: SmolStr,
    /// The value; an empty one drops the key.
    pub value: Bytes,
}

/// Under what condition an append takes effect.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AppendCondition {
    /// Always.
    None,
    /// If the topic ends at this offset.
    EndsAt(LogOffset),
    /// If no writer with a higher epoch has appended, and at most once for each sequence number.
    Writer(WriterMark),
}

/// A writer whose repeats are recognised and who is shut out by its successors.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WriterMark {
    /// The name shared by all who may write in turn.
    pub producer: &'static str,
    /// The number that rises with each writer.
    pub epoch: u64,
    /// The number of the append, counted by the writer.
    pub sequence: u64,
}

/// A page of the newest records of all keys.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NewestPage {
    /// The records, with the offset of each.
    pub records: Vec<(LogOffset, KeyedRecord)>,
    /// The offset at which the topic ended.
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

/// Why the store didn't do what a call asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreError {
    /// Nothing was done; the store refuses calls for now.
    Refused,
    /// The call may have been carried out, or may still be.
    Unanswered,
    /// The topic ends at another offset.
    EndMoved(LogOffset),
    /// A writer with a higher epoch has appended.
    Fenced,
    /// The writer's sequence number is not the expected one.
    OutOfSequence,
    /// The records before this offset are gone.
    Expired(LogOffset),
    /// The answer can't be understood, or the store rejects the call for good.
    Invalid(SmolStr),
}

impl Display for StoreError {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("the store refuses calls"),
            Self::Unanswered => f.write_str("the store gave no answer"),
            Self::EndMoved(end) => write!(f, "the topic ends at {end}"),
            Self::Fenced => f.write_str("a later writer has taken over"),
            Self::OutOfSequence => f.write_str("an append is missing before this one"),
            Self::Expired(first) => write!(f, "the records before {first} are gone"),
            Self::Invalid(reason) => write!(f, "the call can't be served: {reason}"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The calls to the store.
///
/// Topics have one partition. Futures are `Send`, so that calls can run as tasks of their own.
pub trait StoreClient: Debug + Clone + Send + Sync + 'static {
    /// Appends records and returns the offset after the last one.
    ///
    /// # Errors
    ///
    /// Returns why the append didn't take effect, or that this isn't known.
    fn append(
        &self,
        topic: TopicName,
        records: Vec<KeyedRecord>,
        condition: AppendCondition,
        timeout: Duration,
    ) -> impl Future<Output = Result<LogOffset, StoreError>> + Send;

    /// Reads the newest records of all keys after a key.
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

    /// Reads records from an offset on, waiting for one to be appended.
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

    /// Joins the group of a topic, or keeps the member in it.
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

/// How long the store takes for an answer, as far as recent calls have shown.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AnswerTime {
    usual: Duration,
}

impl AnswerTime {
    /// The usual time before any call has shown another.
    const FIRST: Duration = Duration::from_millis(100);
    /// The multiple of the usual time after which an answer counts as lost.
    const PATIENCE: u32 = 4;
    /// The shortest time after which an answer counts as lost.
    const SHORTEST: Duration = Duration::from_millis(500);
    /// The longest time after which an answer counts as lost.
    const LONGEST: Duration = Duration::from_secs(2);

    /// Returns the time after which an answer counts as lost.
    pub fn limit(&self) -> Duration {
        (self.usual * Self::PATIENCE).clamp(Self::SHORTEST, Self::LONGEST)
    }

    /// Takes note of a call.
    pub fn learn<T>(&mut self, answer: &Result<T, StoreError>, taken: Duration) {
        self.usual = match answer {
            Err(StoreError::Unanswered) => (self.usual * 3 / 2).min(Self::LONGEST),
            Err(StoreError::Refused) => self.usual,
            _ => (self.usual * 3 + taken) / 4,
        };
    }
}

impl Default for AnswerTime {
    fn default() -> Self {
        Self { usual: Self::FIRST }
    }
}

/// The time within which a page of many records has to be there, also from a slow store.
const PAGE_LIMIT: Duration = Duration::from_secs(4);

/// Reads the newest records of all keys, page by page.
///
/// # Errors
///
/// Returns why a page could not be read.
pub async fn read_newest<S: StoreClient>(
    store: &S,
    topic: TopicName,
) -> Result<(Vec<KeyedRecord>, LogOffset), StoreError> {
    let mut records = Vec::new();
    let mut after = None;
    let mut end = None;
    loop {
        let page = store.newest(topic, after.take(), PAGE_LIMIT).await?;
        // Pages are no snapshot: what is appended meanwhile comes after the first page's end.
        let first_end = *end.get_or_insert(page.end);
        after = page.records.last().map(|(_, record)| record.key.clone());
        records.extend(page.records.into_iter().map(|(_, record)| record));
        if !page.has_more || after.is_none() {
            return Ok((records, first_end));
        }
    }
}
