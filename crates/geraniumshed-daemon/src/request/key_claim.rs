//! Claims idempotency keys on behalf of the owner of their shard.
//!
//! A claim is an entry in the shard's log stream, which later owners read. Claims are appended in
//! batches.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::Duration;

use geraniumshed_core::request::{KeyTable, KeyVerdict};
use geraniumshed_model::prelude::{
    KeyDigest, KeyEvent, LogOffset, RequestDigest, ShardId, ShardTerm,
};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::key_log::{KeyLog, KeyLogError};

/// The maximum number of claims in one log entry.
const BATCH_LIMIT: usize = 512;

/// The timeout of a call to the log.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The time that a read waits for the next entry.
const READ_WAIT: Duration = Duration::from_millis(100);

/// The result of claiming a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ClaimResult {
    /// The key is claimed and its request may be dispatched.
    Dispatch,
    /// The key was claimed before.
    Used,
    /// The key was claimed before for a different request.
    Mismatch,
    /// The log did not confirm the claim. No earlier owner claimed the key, and this daemon never
    /// dispatched its request.
    Unconfirmed,
    /// The shard's stream could not be read, so that earlier claims of the key are unknown.
    Unchecked,
}

/// A command to the task that claims the keys of one shard.
enum KeyCommand {
    Claim(ClaimCommand),
    Release(KeyDigest),
}

/// A claim of a key for a request, with the channel for the result.
struct ClaimCommand {
    key: KeyDigest,
    request: RequestDigest,
    term: ShardTerm,
    reply: oneshot::Sender<ClaimResult>,
}

/// Claims keys of all shards that this daemon owns, with one background task per shard.
#[derive(Debug)]
pub struct KeyClaimer<K> {
    log: K,
    interval: Duration,
    shards: Mutex<HashMap<ShardId, mpsc::UnboundedSender<KeyCommand>>>,
}

impl<K: KeyLog> KeyClaimer<K> {
    /// Creates a claimer that appends to each shard's stream at most once per interval.
    pub fn new(log: K, interval: Duration) -> Self {
        Self {
            log,
            interval,
            shards: Mutex::default(),
        }
    }

    /// Claims a key for a request in a term of the shard, waiting at most `limit`.
    pub async fn claim(
        &self,
        shard: ShardId,
        term: ShardTerm,
        key: KeyDigest,
        request: RequestDigest,
        limit: Duration,
    ) -> ClaimResult {
        let (reply, mut result) = oneshot::channel();
        let command = ClaimCommand {
            key,
            request,
            term,
            reply,
        };
        self.send(shard, KeyCommand::Claim(command));
        if let Ok(result) = tokio::time::timeout(limit, &mut result).await {
            return result.unwrap_or(ClaimResult::Unchecked);
        }
        result.close();
        // A reply sent before the close still counts. A later one can't be sent any more, and the
        // shard's task then releases the claim.
        result.try_recv().unwrap_or(ClaimResult::Unchecked)
    }

    /// Makes a claimed key usable again if its request did not run.
    pub fn release(&self, shard: ShardId, key: KeyDigest) {
        self.send(shard, KeyCommand::Release(key));
    }

    fn send(&self, shard: ShardId, command: KeyCommand) {
        let mut shards = self
            .shards
            .lock()
            .expect("no thread panics while it holds the lock");
        let sender = shards.entry(shard).or_insert_with(|| {
            let (sender, commands) = mpsc::unbounded_channel();
            let claimer = ShardClaimer {
                log: self.log.clone(),
                shard,
                table: KeyTable::default(),
            };
            tokio::spawn(claimer.serve(commands, self.interval));
            sender
        });
        drop(sender.send(command));
    }
}

/// The task that claims the keys of one shard.
struct ShardClaimer<K> {
    log: K,
    shard: ShardId,
    table: KeyTable,
}

impl<K: KeyLog> ShardClaimer<K> {
    /// Processes all waiting commands as one batch. After an append, the next batch starts when the
    /// interval has passed.
    async fn serve(
        mut self,
        mut commands: mpsc::UnboundedReceiver<KeyCommand>,
        interval: Duration,
    ) {
        let mut batch = Vec::new();
        while commands.recv_many(&mut batch, BATCH_LIMIT).await > 0 {
            let begin = Instant::now();
            let mut claims = Vec::new();
            for command in batch.drain(..) {
                match command {
                    KeyCommand::Claim(claim) => claims.push(claim),
                    KeyCommand::Release(key) => self.table.release(key),
                }
            }
            if self.serve_claims(claims).await {
                tokio::time::sleep_until(begin + interval).await;
            }
        }
    }

    /// Replies to claims. Returns whether an append to the log was attempted.
    async fn serve_claims(&mut self, claims: Vec<ClaimCommand>) -> bool {
        let Some(term) = claims.iter().map(|claim| claim.term).max() else {
            return false;
        };
        let mut appended = false;
        if !self.table.is_open(term) {
            appended = true;
            if self
                .append_and_read(term, vec![KeyEvent::Opened])
                .await
                .is_err()
                || !self.table.is_open(term)
            {
                reply_all(&mut self.table, claims, ClaimResult::Unchecked);
                return appended;
            }
        }
        let unclaimed = self.reply_decided(claims, term);
        if unclaimed.is_empty() {
            return appended;
        }
        let events = unclaimed.iter().map(claimed_event).collect();
        // The result of the append is ignored: only a claim that is read back from the log counts.
        let _ = self.append_and_read(term, events).await;
        let unconfirmed = self.reply_decided(unclaimed, term);
        reply_all(&mut self.table, unconfirmed, ClaimResult::Unconfirmed);
        true
    }

    /// Replies to the claims that the table can decide, and returns the others.
    fn reply_decided(&mut self, claims: Vec<ClaimCommand>, term: ShardTerm) -> Vec<ClaimCommand> {
        let mut unclaimed = Vec::new();
        for claim in claims {
            let result = match self.table.consume(claim.key, claim.request, term) {
                KeyVerdict::Unclaimed => {
                    unclaimed.push(claim);
                    continue;
                }
                KeyVerdict::Dispatch => ClaimResult::Dispatch,
                KeyVerdict::Used => ClaimResult::Used,
                KeyVerdict::Mismatch => ClaimResult::Mismatch,
            };
            reply(&mut self.table, claim, result);
        }
        unclaimed
    }

    /// Appends events and reads the stream up to and including them.
    async fn append_and_read(
        &mut self,
        term: ShardTerm,
        events: Vec<KeyEvent>,
    ) -> Result<(), KeyLogError> {
        let append = self.log.append(self.shard, term, events);
        let appended = with_timeout(append).await;
        match appended {
            Ok(offset) => with_timeout(self.read_past(Some(offset))).await,
            // The entry may have been appended nevertheless.
            Err(KeyLogError::Unconfirmed) => with_timeout(self.read_past(None)).await,
            Err(error) => Err(error),
        }
    }

    /// Reads the stream up to and including an offset, or to its end.
    async fn read_past(&mut self, offset: Option<LogOffset>) -> Result<(), KeyLogError> {
        loop {
            let from = self.table.next();
            let page = match self.log.read(self.shard, from, READ_WAIT).await {
                Ok(page) => page,
                Err(KeyLogError::Expired(first)) => {
                    self.table.forget_before(first);
                    self.table.advance_to(first);
                    continue;
                }
                Err(error) => return Err(error),
            };
            for entry in &page.entries {
                self.table.apply(entry.offset, entry.term, &entry.events);
            }
            self.table.forget_before(page.first);
            self.table.advance_to(page.next);
            let target = offset.map_or(page.end, LogOffset::next);
            if self.table.next() >= target {
                return Ok(());
            }
        }
    }
}

fn claimed_event(claim: &ClaimCommand) -> KeyEvent {
    KeyEvent::Claimed {
        key: claim.key,
        request: claim.request,
    }
}

fn reply_all(table: &mut KeyTable, claims: Vec<ClaimCommand>, result: ClaimResult) {
    for claim in claims {
        reply(table, claim, result);
    }
}

/// Replies to a claim. Releases the key if the claimant no longer waits for it.
fn reply(table: &mut KeyTable, claim: ClaimCommand, result: ClaimResult) {
    let is_abandoned = claim.reply.send(result).is_err();
    if is_abandoned && result == ClaimResult::Dispatch {
        table.release(claim.key);
    }
}

/// Limits a call to the log by [`CALL_TIMEOUT`]; on timeout its effect is unconfirmed.
async fn with_timeout<T>(
    call: impl Future<Output = Result<T, KeyLogError>>,
) -> Result<T, KeyLogError> {
    match tokio::time::timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result,
        Err(_) => Err(KeyLogError::Unconfirmed),
    }
}
