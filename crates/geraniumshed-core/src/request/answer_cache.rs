//! A cache of the answers to requests with an idempotency key, to replay them to retries.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use geraniumshed_model::prelude::{KeyDigest, RequestDigest, TimePoint};

/// The result of looking up an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AnswerLookup<A> {
    /// The key isn't in the cache.
    Unknown,
    /// The key's request is still being served.
    Running,
    /// The key's request got this answer, which is to be replayed.
    Replay(A),
    /// The key was used for a different request.
    Mismatch,
}

/// The request of a key, with its answer and the answer's size in bytes once there is one.
#[derive(Debug, Clone)]
struct CacheEntry<A> {
    request: RequestDigest,
    answer: Option<(A, usize)>,
}

/// Caches the answers of keyed requests, bounded by their age and their total size.
///
/// Unfinished requests are in the cache too, but don't count against the bounds.
#[derive(Debug, Clone)]
pub struct AnswerCache<A> {
    entries: BTreeMap<KeyDigest, CacheEntry<A>>,
    finished: VecDeque<(TimePoint, KeyDigest)>,
    lifetime: Duration,
    limit: usize,
    size: usize,
}

impl<A: Clone> AnswerCache<A> {
    /// Creates an empty cache.
    ///
    /// Keeps answers for up to `lifetime`, and up to `limit` bytes in total; the oldest are evicted
    /// first.
    pub fn open(lifetime: Duration, limit: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            finished: VecDeque::new(),
            lifetime,
            limit,
            size: 0,
        }
    }

    /// Looks up the key of a request.
    pub fn find(
        &mut self,
        now: TimePoint,
        key: KeyDigest,
        request: RequestDigest,
    ) -> AnswerLookup<A> {
        self.evict_expired(now);
        match self.entries.get(&key) {
            None => AnswerLookup::Unknown,
            Some(entry) if entry.request != request => AnswerLookup::Mismatch,
            Some(entry) => match &entry.answer {
                None => AnswerLookup::Running,
                Some((answer, _)) => AnswerLookup::Replay(answer.clone()),
            },
        }
    }

    /// Adds a key whose request is now being served.
    pub fn begin(&mut self, key: KeyDigest, request: RequestDigest) {
        let entry = CacheEntry {
            request,
            answer: None,
        };
        self.entries.insert(key, entry);
    }

    /// Stores the answer to a key's request; `size` is in bytes.
    pub fn finish(&mut self, now: TimePoint, key: KeyDigest, answer: A, size: usize) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.answer = Some((answer, size));
        self.size += size;
        self.finished.push_back((now, key));
        self.evict_expired(now);
    }

    /// Removes a key that has no answer, since its request was never dispatched or its answer can't
    /// be stored.
    pub fn forget(&mut self, key: KeyDigest) {
        if let Some(entry) = self.entries.get(&key)
            && entry.answer.is_none()
        {
            self.entries.remove(&key);
        }
    }

    /// Returns the number of cached answers.
    pub fn len(&self) -> usize {
        self.finished.len()
    }

    /// Returns whether no answer is cached.
    pub fn is_empty(&self) -> bool {
        self.finished.is_empty()
    }

    /// Evicts the oldest answers while they are expired or the cache is above its size limit.
    fn evict_expired(&mut self, now: TimePoint) {
        while let Some((finished, key)) = self.finished.front().copied() {
            if self.size <= self.limit && now.since(finished) <= self.lifetime {
                return;
            }
            self.finished.pop_front();
            if let Some(entry) = self.entries.remove(&key)
                && let Some((_, size)) = entry.answer
            {
                self.size -= size;
            }
        }
    }
}
