//! The idempotency keys of one shard, as its stream of the log tells them.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{KeyDigest, KeyEvent, LogOffset, RequestDigest, ShardTerm};

/// Whether a key's request may be dispatched by the shard's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyVerdict {
    /// Nobody claimed the key yet.
    Unclaimed,
    /// The key is the owner's, and its request may be dispatched now.
    Dispatch,
    /// The key's request was, or may have been, dispatched before.
    Used,
    /// The key was claimed for another request.
    Mismatch,
}

/// The first claim of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KeyClaim {
    offset: LogOffset,
    term: ShardTerm,
    request: RequestDigest,
    dispatched: bool,
}

/// The idempotency keys of one shard.
#[derive(Debug, Clone, Default)]
pub struct KeyTable {
    claims: BTreeMap<KeyDigest, KeyClaim>,
    highest: ShardTerm,
    opened: Option<ShardTerm>,
    next: LogOffset,
    oldest: LogOffset,
}

impl KeyTable {
    /// Returns the offset of the next entry to apply.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the number of keys that are known.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Tells whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Tells whether the barrier of a term was read and no higher one.
    pub fn is_open(&self, term: ShardTerm) -> bool {
        self.opened == Some(term) && self.highest == term
    }

    /// Applies the events of one entry; those of superseded terms are void.
    pub fn apply(&mut self, offset: LogOffset, term: ShardTerm, events: &[KeyEvent]) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        if term < self.highest {
            return;
        }
        self.highest = term;
        for event in events {
            match event {
                KeyEvent::Opened => self.opened = Some(term),
                KeyEvent::Claimed { key, request } => {
                    self.claims.entry(*key).or_insert(KeyClaim {
                        offset,
                        term,
                        request: *request,
                        dispatched: false,
                    });
                }
            }
        }
    }

    /// Drops the claims that the log no longer keeps.
    pub fn forget_before(&mut self, first: LogOffset) {
        if self.oldest < first {
            self.claims.retain(|_, claim| claim.offset >= first);
            self.oldest = first;
        }
    }

    /// Goes on from an offset, if it is a later one; all entries before it have been read.
    pub fn advance_to(&mut self, next: LogOffset) {
        self.next = self.next.max(next);
    }

    /// Uses a key up for a request of the owner, if the key is the owner's and unused.
    pub fn take(&mut self, key: KeyDigest, request: RequestDigest, own: ShardTerm) -> KeyVerdict {
        let is_open = self.is_open(own);
        let Some(claim) = self.claims.get_mut(&key) else {
            return KeyVerdict::Unclaimed;
        };
        if claim.request != request {
            return KeyVerdict::Mismatch;
        }
        if claim.term != own || claim.dispatched || !is_open {
            return KeyVerdict::Used;
        }
        claim.dispatched = true;
        KeyVerdict::Dispatch
    }

    /// Makes a key usable again for its owner, since its request was never dispatched.
    pub fn give_back(&mut self, key: KeyDigest) {
        if let Some(claim) = self.claims.get_mut(&key) {
            claim.dispatched = false;
        }
    }
}
