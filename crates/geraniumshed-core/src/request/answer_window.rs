//! Finished answers of keyed requests, kept for a while to be replayed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use geraniumshed_model::prelude::{KeyDigest, RequestDigest, TimePoint};

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WindowVerdict<A> {
    /// Nothing is kept under the key.
    Unknown,
    /// The key's request is being served now.
    Running,
    /// The key's request was served with this answer.
    Replay(A),
    /// The key belongs to another request.
    Mismatch,
}

/// One key with its request and its answer, once there is one.
#[derive(Debug, Clone)]
struct WindowEntry<A> {
    request: RequestDigest,
    answer: Option<(A, usize)>,
}

/// The answers of keyed requests, bounded by age and by bytes.
#[derive(Debug, Clone)]
pub struct AnswerWindow<A> {
    entries: BTreeMap<KeyDigest, WindowEntry<A>>,
    finished: VecDeque<(TimePoint, KeyDigest)>,
    lifetime: Duration,
    limit: usize,
    size: usize,
}

impl<A: Clone> AnswerWindow<A> {
    /// Opens a window that keeps answers for a time and up to a size in bytes.
    pub fn open(lifetime: Duration, limit: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            finished: VecDeque::new(),
            lifetime,
            limit,
            size: 0,
        }
    }

    /// Returns what is known of a key.
    pub fn find(
        &mut self,
        now: TimePoint,
        key: KeyDigest,
        request: RequestDigest,
    ) -> WindowVerdict<A> {
        self.forget_old(now);
        match self.entries.get(&key) {
            None => WindowVerdict::Unknown,
            Some(entry) if entry.request != request => WindowVerdict::Mismatch,
            Some(entry) => match &entry.answer {
                None => WindowVerdict::Running,
                Some((answer, _)) => WindowVerdict::Replay(answer.clone()),
            },
        }
    }

    /// Notes that a key's request is being served.
    pub fn begin(&mut self, key: KeyDigest, request: RequestDigest) {
        let entry = WindowEntry {
            request,
            answer: None,
        };
        self.entries.insert(key, entry);
    }

    /// Keeps the answer of a key's request.
    pub fn finish(&mut self, now: TimePoint, key: KeyDigest, answer: A, size: usize) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.answer = Some((answer, size));
        self.size += size;
        self.finished.push_back((now, key));
        self.forget_old(now);
    }

    /// Forgets a key whose request was never dispatched or whose answer can't be kept.
    pub fn forget(&mut self, key: KeyDigest) {
        if let Some(entry) = self.entries.get(&key)
            && entry.answer.is_none()
        {
            self.entries.remove(&key);
        }
    }

    /// Returns the number of answers that are kept.
    pub fn len(&self) -> usize {
        self.finished.len()
    }

    /// Tells whether no answer is kept.
    pub fn is_empty(&self) -> bool {
        self.finished.is_empty()
    }

    fn forget_old(&mut self, now: TimePoint) {
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
