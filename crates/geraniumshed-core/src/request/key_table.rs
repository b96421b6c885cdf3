//! The idempotency keys of one shard, rebuilt from the shard's stream in the log.

use std::collections::BTreeMap;

use geraniumshed_model::prelude::{KeyDigest, KeyEvent, LogOffset, RequestDigest, ShardTerm};

/// Whether a key's request may be dispatched by the shard's owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum KeyVerdict {
    /// The log holds no claim of the key.
    Unclaimed,
    /// The key is claimed by this owner and now used, so its request may be dispatched.
    Dispatch,
    /// The key's request was, or may have been, dispatched before.
    Used,
    /// The key was claimed for a different request.
    Mismatch,
}

/// The first claim of a key; later ones have no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct KeyClaim {
    offset: LogOffset,
    term: ShardTerm,
    request: RequestDigest,
    dispatched: bool,
}

/// The idempotency keys of one shard.
///
/// Claims are made in the log under the owner's term. An owner dispatches only what it claimed in
/// its own term, and only while no entry of a higher term has been read.
#[derive(Debug, Clone, Default)]
pub struct KeyTable {
    claims: BTreeMap<KeyDigest, KeyClaim>,
    highest_term: ShardTerm,
    opened_term: Option<ShardTerm>,
    next: LogOffset,
    oldest: LogOffset,
}

impl KeyTable {
    /// Returns the offset of the next entry to apply.
    pub fn next(&self) -> LogOffset {
        self.next
    }

    /// Returns the number of claimed keys.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Returns whether no key is claimed.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Returns whether the term's opening entry was read, and no entry of a higher term.
    ///
    /// The opening entry is a barrier: after it, claims of earlier terms have no effect.
    pub fn is_open(&self, term: ShardTerm) -> bool {
        self.opened_term == Some(term) && self.highest_term == term
    }

    /// Applies the events of one log entry.
    ///
    /// Skips entries that were applied before, and ignores the events of superseded terms.
    pub fn apply(&mut self, offset: LogOffset, term: ShardTerm, events: &[KeyEvent]) {
        if offset < self.next {
            return;
        }
        self.next = offset.next();
        if term < self.highest_term {
            return;
        }
        self.highest_term = term;
        for event in events {
            match event {
                KeyEvent::Opened => self.opened_term = Some(term),
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

    /// Drops the claims before the log's first retained offset.
    pub fn forget_before(&mut self, first: LogOffset) {
        if self.oldest < first {
            self.claims.retain(|_, claim| claim.offset >= first);
            self.oldest = first;
        }
    }

    /// Moves the next offset forward, since all entries before it have been read or have expired.
    pub fn advance_to(&mut self, next: LogOffset) {
        self.next = self.next.max(next);
    }

    /// Marks a key as used by a request, if the owner claimed it in its term and it is unused.
    pub fn consume(
        &mut self,
        key: KeyDigest,
        request: RequestDigest,
        own_term: ShardTerm,
    ) -> KeyVerdict {
        let is_open = self.is_open(own_term);
        let Some(claim) = self.claims.get_mut(&key) else {
            return KeyVerdict::Unclaimed;
        };
        if claim.request != request {
            return KeyVerdict::Mismatch;
        }
        if claim.term != own_term || claim.dispatched || !is_open {
            return KeyVerdict::Used;
        }
        claim.dispatched = true;
        KeyVerdict::Dispatch
    }

    /// Makes a key usable again by its owner, since its request was never dispatched.
    pub fn release(&mut self, key: KeyDigest) {
        if let Some(claim) = self.claims.get_mut(&key) {
            claim.dispatched = false;
        }
    }
}
